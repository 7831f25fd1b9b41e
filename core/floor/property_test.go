package floor

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenaridge/core/fleet"
)

const (
	modelStep = 100 * time.Millisecond
	// modelMaxDelay is the longest time that a message is in transit.
	modelMaxDelay = 2 * time.Second
	modelFloor    = 4
	// modelLease is the duration of a steward's lease after its renewal.
	modelLease = 2 * time.Second
	// modelUsableMemory is the largest age of a count of usable servers behind a
	// permit in use: the transit of the report, its lifetime, and the lifetime of
	// the permit.
	modelUsableMemory = modelMaxDelay + 2*PermitTTL
)

// TestMain uses seed 1 for property tests unless the flag sets another seed, so
// that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// message is a report or a reply in transit.
type message struct {
	deliverAt time.Time
	report    *Report
	reply     *Reply
	// owner and steward are the indexes of the two instances.
	owner, steward int
}

// modelServer is a server with its actual state.
type modelServer struct {
	id           fleet.ServerID
	owner        int
	usable       bool
	lastUsableAt time.Time
	failing      bool
}

// modelOwner is an owner whose clock has an offset, as only the differences
// between times of the same clock may matter.
type modelOwner struct {
	holder      *Holder
	clockOffset time.Duration
}

// modelSteward is an instance that may be the steward.
type modelSteward struct {
	steward     *Steward
	clockOffset time.Duration
	leaseUntil  time.Time
	pausedUntil time.Time
}

// model is a fleet whose messages are lost, delayed and reordered, and whose
// stewards pause, lose their leases and resume.
type model struct {
	t        *rapid.T
	now      time.Time
	servers  []*modelServer
	owners   []*modelOwner
	stewards []*modelSteward
	// currentSteward is the index of the instance that is the steward.
	currentSteward int
	messages       []message
	ejectedSteps   int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: start}
	for i := range 3 {
		offset := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "offset")) * time.Millisecond
		member := fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("o%d", i))}
		m.owners = append(m.owners, &modelOwner{holder: NewHolder(member), clockOffset: offset})
		m.stewards = append(m.stewards, &modelSteward{steward: NewSteward(modelFloor), clockOffset: -offset})
	}
	for i := range 8 {
		id := fleet.ServerID(fmt.Sprintf("s%d", i))
		m.servers = append(m.servers, &modelServer{id: id, owner: i % 3, usable: true})
	}
	m.makeSteward(0)
	return m
}

// chance draws true with probability 1/n.
func (m *model) chance(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(m.t, label) == 0
}

// makeSteward makes an instance the steward.
func (m *model) makeSteward(i int) {
	m.currentSteward = i
	s := m.stewards[i]
	s.steward.Deactivate()
	s.steward.Activate(m.now.Add(s.clockOffset))
	s.pausedUntil = time.Time{}
}

// step advances the model by modelStep.
func (m *model) step(deaths bool) {
	m.now = m.now.Add(modelStep)
	m.changeServers(deaths)
	m.changeStewards()
	m.deliver()
	for i := range m.owners {
		if m.chance(5, "report") {
			m.send(i)
		}
	}
}

// changeServers makes a random server fail, recover, die, return or change its
// owner.
func (m *model) changeServers(deaths bool) {
	server := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(m.t, "server")]
	switch rapid.IntRange(0, 99).Draw(m.t, "event") {
	case 0, 1, 2, 3, 4, 5:
		server.failing = true
	case 6, 7, 8:
		server.failing = false
	case 9:
		server.usable = !deaths
	case 10, 11:
		server.usable = true
	case 12:
		m.send(server.owner)
		server.owner = (server.owner + 1) % len(m.owners)
	}
	for _, server := range m.servers {
		if server.usable {
			server.lastUsableAt = m.now
		}
	}
}

// changeStewards renews leases, pauses the steward, and appoints another one
// when its lease has expired.
func (m *model) changeStewards() {
	s := m.stewards[m.currentSteward]
	if !m.now.Before(s.pausedUntil) {
		s.leaseUntil = m.now.Add(modelLease)
		s.steward.ExtendLease(s.leaseUntil.Add(s.clockOffset))
	}
	if m.chance(40, "pause") {
		s.pausedUntil = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "length")) * modelStep)
	}
	if !m.now.Before(s.leaseUntil) {
		m.makeSteward((m.currentSteward + 1) % len(m.stewards))
	}
}

// send sends a report of an owner to the current or the previous steward.
func (m *model) send(i int) {
	o := m.owners[i]
	var usable []fleet.ServerID
	var requests []EjectionRequest
	for n, server := range m.servers {
		if server.owner != i || !server.usable {
			continue
		}
		usable = append(usable, server.id)
		if server.failing {
			requests = append(requests, EjectionRequest{Server: server.id, Severity: float64(n)})
		}
	}
	report := o.holder.BuildReport(m.now.Add(o.clockOffset), usable, requests, 0)
	to := m.currentSteward
	if m.chance(4, "old steward") {
		to = (m.currentSteward + len(m.stewards) - 1) % len(m.stewards)
	}
	m.transmit(message{report: &report, owner: i, steward: to})
}

// transmit queues a message for delivery with a random delay, or loses it.
func (m *model) transmit(msg message) {
	if m.chance(8, "loss") {
		return
	}
	delay := 0
	if m.chance(3, "late") {
		delay = rapid.IntRange(0, int(modelMaxDelay/modelStep)-1).Draw(m.t, "delay")
	}
	msg.deliverAt = m.now.Add(time.Duration(delay) * modelStep)
	m.messages = append(m.messages, msg)
}

// deliver delivers the messages that are due. A paused steward processes its
// messages when it resumes, with the time at its resumption.
func (m *model) deliver() {
	pending := m.messages
	m.messages = nil
	for _, msg := range pending {
		s := m.stewards[msg.steward]
		switch {
		case m.now.Before(msg.deliverAt), msg.report != nil && m.now.Before(s.pausedUntil):
			m.messages = append(m.messages, msg)
		case msg.report != nil:
			if m.now.Sub(msg.deliverAt) >= modelMaxDelay {
				continue // The call's deadline has passed.
			}
			reply := s.steward.HandleReport(m.now.Add(s.clockOffset), *msg.report)
			m.transmit(message{reply: &reply, owner: msg.owner, steward: msg.steward})
		default:
			o := m.owners[msg.owner]
			o.holder.HandleReply(m.now.Add(o.clockOffset), *msg.reply)
		}
	}
}

// check fails if more servers are ejected than the floor allows, given the
// servers that were usable when the permits were granted, which are the servers
// that were usable at some time within usableMemory.
func (m *model) check(usableMemory time.Duration) {
	ejected, usable := 0, 0
	for _, server := range m.servers {
		if m.now.Sub(server.lastUsableAt) <= usableMemory {
			usable++
		}
		for _, o := range m.owners {
			if o.holder.View().HasPermit(server.id, m.now.Add(o.clockOffset)) {
				ejected++
				break
			}
		}
	}
	m.ejectedSteps += ejected
	if ejected > 0 && usable-ejected < modelFloor {
		m.t.Fatalf("%d of %d usable servers are ejected, floor %d", ejected, usable, modelFloor)
	}
}

// TestFloorHolds guards against ejection below the floor because of lost, late
// and reordered messages, changes of owners and stewards, and pauses.
func TestFloorHolds(t *testing.T) {
	tests := []struct {
		name         string
		deaths       bool
		usableMemory time.Duration
	}{
		{"all servers usable", false, 0},
		{"servers die and return", true, modelUsableMemory},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ejected := 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t)
				for range 300 {
					m.step(test.deaths)
					m.check(test.usableMemory)
				}
				ejected += m.ejectedSteps
			})
			if ejected == 0 {
				t.Fatal("no server was ever ejected")
			}
			t.Logf("%d server steps under permits", ejected)
		})
	}
}
