package link

import (
	"time"

	"galenaridge/standin/jsontime"
)

// Shape describes how a link delays, cuts or refuses traffic. Up is the direction
// from the connecting side to the target, and down is the opposite direction.
type Shape struct {
	// Delay is the mean one-way delay. Delays are uniform between Delay-Jitter
	// and Delay+Jitter.
	Delay  jsontime.Duration `json:"delay"`
	Jitter jsontime.Duration `json:"jitter"`
	// StallShare is the share of chunks that are delayed by a further Stall, as
	// after a packet loss that TCP repairs. Later chunks wait behind them.
	StallShare float64           `json:"stall_share"`
	Stall      jsontime.Duration `json:"stall"`
	// CutUp and CutDown hold all bytes in one direction until the cut ends.
	CutUp   bool `json:"cut_up"`
	CutDown bool `json:"cut_down"`
	// Refuse closes the listener and all connections, so that new connections
	// are refused.
	Refuse bool `json:"refuse"`
}

// Change replaces the fields of a shape for which it has a value.
type Change struct {
	Delay      *jsontime.Duration `json:"delay,omitempty"`
	Jitter     *jsontime.Duration `json:"jitter,omitempty"`
	StallShare *float64           `json:"stall_share,omitempty"`
	Stall      *jsontime.Duration `json:"stall,omitempty"`
	CutUp      *bool              `json:"cut_up,omitempty"`
	CutDown    *bool              `json:"cut_down,omitempty"`
	Refuse     *bool              `json:"refuse,omitempty"`
	// Reset closes all current connections; the link accepts new ones.
	Reset bool `json:"reset,omitempty"`
}

// apply returns the shape with the values of the change.
func (s Shape) apply(c Change) Shape {
	assign(&s.Delay, c.Delay)
	assign(&s.Jitter, c.Jitter)
	assign(&s.StallShare, c.StallShare)
	assign(&s.Stall, c.Stall)
	assign(&s.CutUp, c.CutUp)
	assign(&s.CutDown, c.CutDown)
	assign(&s.Refuse, c.Refuse)
	return s
}

func assign[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// delay returns the one-way delay of a chunk. Both draws are random numbers from
// [0, 1): jitterDraw selects the jitter, stallDraw decides whether the chunk
// stalls.
func (s Shape) delay(jitterDraw, stallDraw float64) time.Duration {
	d := s.Delay.Std() + time.Duration((2*jitterDraw-1)*float64(s.Jitter.Std()))
	d = max(d, 0)
	if stallDraw < s.StallShare {
		d += s.Stall.Std()
	}
	return d
}
