package floor

import (
	"time"

	"galenaridge/core/fleet"
)

// Holder keeps an owner's permits for the servers of one service. It belongs
// to the control goroutine.
type Holder struct{}

// NewHolder returns a holder without permits.
func NewHolder(self fleet.Member) *Holder { return &Holder{} }

// Compose returns the report to send now. Permits of servers that are no
// longer wished for end with it.
func (h *Holder) Compose(now time.Time, usable []fleet.ServerID, wishes []Wish, median time.Duration) Report {
	return Report{}
}

// Change lists permits that began, ended or were not given.
type Change struct {
	Granted []fleet.ServerID
	Denied  []fleet.ServerID
	Expired []fleet.ServerID
}

// Accept takes the steward's reply to a report.
func (h *Holder) Accept(now time.Time, reply Reply) Change { return Change{} }

// Tick ends permits whose life has passed.
func (h *Holder) Tick(now time.Time) Change { return Change{} }

// Publish returns an immutable copy of the permits.
func (h *Holder) Publish() HolderView { return HolderView{} }
