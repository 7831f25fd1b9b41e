package link

import (
	"time"

	"galenaridge/standin/jsontime"
)

// Shape is how a link treats traffic. Up is the direction from the side that
// connects to the target, and down is the way back.
type Shape struct {
	// Delay is the time one way, uniform in Delay plus or minus Jitter.
	Delay  jsontime.Duration `json:"delay"`
	Jitter jsontime.Duration `json:"jitter"`
	// StallShare of the chunks wait for Stall in addition, and all behind
	// them too, as after a loss that TCP repairs.
	StallShare float64           `json:"stall_share"`
	Stall      jsontime.Duration `json:"stall"`
	// CutUp and CutDown hold all bytes of one direction.
	CutUp   bool `json:"cut_up"`
	CutDown bool `json:"cut_down"`
	// Refuse closes the listener and all connections.
	Refuse bool `json:"refuse"`
}

// Change changes the parts of a shape that it gives.
type Change struct {
	Delay      *jsontime.Duration `json:"delay,omitempty"`
	Jitter     *jsontime.Duration `json:"jitter,omitempty"`
	StallShare *float64           `json:"stall_share,omitempty"`
	Stall      *jsontime.Duration `json:"stall,omitempty"`
	CutUp      *bool              `json:"cut_up,omitempty"`
	CutDown    *bool              `json:"cut_down,omitempty"`
	Refuse     *bool              `json:"refuse,omitempty"`
	// Reset closes all connections once.
	Reset bool `json:"reset,omitempty"`
}

// apply returns the shape after a change.
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

// delay returns the time one way of a chunk for two draws from [0, 1).
func (s Shape) delay(jitter, stall float64) time.Duration {
	d := s.Delay.Std() + time.Duration((2*jitter-1)*float64(s.Jitter.Std()))
	d = max(d, 0)
	if stall < s.StallShare {
		d += s.Stall.Std()
	}
	return d
}
