package floor

import (
	"time"

	"galenaridge/core/fleet"
)

// Life is how long a permit and a report are valid.
const Life = 3 * time.Second

// Sequence numbers the reports of one owner; a later report has a higher one.
type Sequence uint64

// Wish asks for the permit to eject a server, or to keep ejecting it.
type Wish struct {
	Server fleet.ServerID
	// Badness orders wishes; the worst servers are ejected first.
	Badness float64
}

// Report is what an owner tells the steward each second, and at once when it
// has a new wish.
type Report struct {
	From     fleet.Member
	Sequence Sequence
	// Usable counts the sender's servers that accept connections and do not
	// leave, ejected ones included.
	Usable fleet.Servers
	// Wishes lists all servers that the sender ejects or wants to eject.
	Wishes []Wish
	// Released lists servers that the sender no longer ejects.
	Released []fleet.ServerID
	// Median is the sender's recent median latency; zero if not known.
	Median time.Duration
}

// Reply is the steward's answer to a report.
type Reply struct {
	// Sequence is that of the report.
	Sequence Sequence
	// Ready is false while the receiver may grant nothing: it is not the
	// steward, has no lease, or waits for the permits of the one before.
	Ready bool
	// Granted lists the wishes that are granted for Life, counted by the owner
	// from the sending of the report.
	Granted []fleet.ServerID
	// Median is the service's recent median latency; zero if not known.
	Median time.Duration
}

// Steward grants the ejection permits of one service. It belongs to the
// control goroutine of the owner of the service's floor resource.
type Steward struct{}

// NewSteward returns a steward that grants nothing before Become.
func NewSteward(floor fleet.Servers) *Steward { return &Steward{} }

// Become starts the stewardship; nothing is granted for one Life from now.
func (s *Steward) Become(now time.Time) {}

// Resign ends the stewardship.
func (s *Steward) Resign() {}

// Extend records until when the steward's lease is valid.
func (s *Steward) Extend(lease time.Time) {}

// SetFloor takes a changed floor from the configuration.
func (s *Steward) SetFloor(floor fleet.Servers) {}

// Receive takes a report and grants what the floor allows.
func (s *Steward) Receive(now time.Time, report Report) Reply { return Reply{} }

// Tick drops reports and permits whose life has passed, and returns the
// servers whose permits expired.
func (s *Steward) Tick(now time.Time) []fleet.ServerID { return nil }

// Publish returns an immutable copy for operators.
func (s *Steward) Publish() StewardView { return StewardView{} }
