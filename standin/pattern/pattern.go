package pattern

import (
	"math/rand/v2"
	"time"

	"galenaridge/core/fleet"
)

// Pattern describes a service, its load and its faults.
type Pattern struct {
	// Domains holds the servers and instances of each failure domain.
	Domains []Domain
	// Slots is the number of requests that a server processes at a time, Queue the number
	// that may wait; further requests are rejected.
	Slots fleet.Slots
	Queue int
	// Rate is the number of requests a second from callers of all failure domains.
	Rate float64
	// Work is the mean time that a server needs for a request.
	Work time.Duration
	// IdempotentShare is the share of requests that may be repeated.
	IdempotentShare float64
	// LatencyObjective and Deadline are counted from the arrival of a request.
	LatencyObjective time.Duration
	Deadline         time.Duration
	// ErrorShare is the share of requests that a sound server fails.
	ErrorShare float64
	Noise      Noise
	Faults     []Fault
	// ReportLoss is the share of reports between instances that are lost, ReportDelay how
	// long one takes at most; 10 ms if it is zero.
	ReportLoss  float64
	ReportDelay time.Duration
	// ReportInterval is the time between two reports of an instance; 100 ms if it is zero.
	ReportInterval time.Duration
	// SpreadFrom is the time from which the spread of the load is measured.
	SpreadFrom time.Duration
	// RepeatRatio and RepeatAllowance are the quota of repeats of all instances together, in
	// any 10 s.
	RepeatRatio     float64
	RepeatAllowance float64
	// ConfigDelay is how long it takes at most until an instance has a new configuration.
	ConfigDelay time.Duration
	Duration    time.Duration

	// Kinds are the kinds of requests. If there are any, they replace Work, IdempotentShare,
	// LatencyObjective and Deadline.
	Kinds []Kind
	// Customers are the customers of the callers; without any, requests have none.
	Customers []Customer
	Wave      Wave
	// Surge is a number of requests that arrive at the same moment.
	Surge   Surge
	Burst   Burst
	Callers CallerKind
	// NewDelays returns what decides on one instance when refused callers come back. If it is
	// nil, they come back after the fixed delay of core/dispatch.
	NewDelays func(random *rand.Rand) RetryDelays
	// RetryAtOnceShare is the share of requests whose callers send them again at once after
	// a refusal, immediateRetries times.
	RetryAtOnceShare float64
}

// Domain is one failure domain of a Pattern.
type Domain struct {
	Servers   int
	Instances int
	// NoCallers is set if no caller is in the failure domain.
	NoCallers bool
	// Callers is the weight of the failure domain among the callers; 1 if it is zero. Burst
	// multiplies it.
	Callers float64
	Burst   Burst
}

// Noise makes servers fail requests for some seconds, at any time and without an
// announcement. Every server is sound and failing by turns.
type Noise struct {
	// Share is the share of the time that a server is failing, Length the mean length of
	// such a time; zero means no noise.
	Share  float64
	Length time.Duration
	// Fails is the share of requests that fail meanwhile.
	Fails float64
	// Hangs is set if these requests get no response, instead of an error.
	Hangs bool
}

// FaultKind is what a Fault does.
type FaultKind uint8

const (
	// Errors makes servers fail requests.
	Errors FaultKind = iota
	// Stall makes servers hold requests until their deadline.
	Stall
	// Shed makes servers reject requests.
	Shed
	// Cut makes servers unreachable for some instances.
	Cut
	// Slow multiplies the time that servers need.
	Slow
	// Join adds servers, which each instance lists at another time until the fault ends.
	Join
)

// Fault is a disturbance of some servers.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Share is the share of the servers. Strength is the share of their requests, the share
	// of the instances for Cut, and the factor for Slow; Join has none.
	Share    float64
	Strength float64
	// From holds the instances whose requests the fault meets, for Cut and Stall. If it is
	// empty, they are drawn for each server for Cut, and all for Stall.
	From []int
}

// ofPath reports whether the fault is in the paths of some instances: a server that other
// instances reach is sound.
func (f Fault) ofPath() bool { return f.Kind == Cut || len(f.From) > 0 }

// Outcome is what became of a request.
type Outcome uint8

const (
	// Served requests got a complete response within the latency objective.
	Served Outcome = iota
	// Late requests got one after it.
	Late
	// Failed requests got an error or no response.
	Failed
	// Refused requests were not sent to a server that took them.
	Refused
	// OverQuota requests were refused by the quota of their customer.
	OverQuota
)

// Request is the record of one request.
type Request struct {
	// ArrivedAt and EndedAt are counted from the start.
	ArrivedAt time.Duration
	EndedAt   time.Duration
	Outcome   Outcome
	// Kind is the name of the kind of the request, empty if the pattern has no kinds.
	Kind     string
	Customer fleet.Customer
	// RetriedAtOnce is set if the caller sends the request again at once after a refusal.
	RetriedAtOnce bool
	// Domain is the failure domain of the instance that got the request; Remote is set if a
	// server of another one got an attempt.
	Domain    int
	Remote    bool
	worth     float64
	lateWorth float64
}

// Arrival is the arrival of a request at a server.
type Arrival struct {
	At     time.Duration
	Server int
}

// Result is what Play returns.
type Result struct {
	Requests []Request
	Arrivals []Arrival
	Spread   Spread
	// Overflows are the times at which attempts found a full queue.
	Overflows []time.Duration
	// Refusals is the number of refusals for lack of capacity, of which a request may get
	// several.
	Refusals int
	servers  []*server
	// firstAttempts and repeats are the times of attempts of all instances, in order.
	firstAttempts []time.Duration
	repeats       []time.Duration
}

// Share returns the share of requests with an outcome that arrived in a span.
func (r *Result) Share(outcome Outcome, from, to time.Duration) float64 {
	total, matching := 0, 0
	for _, request := range r.Requests {
		if request.ArrivedAt < from || request.ArrivedAt >= to {
			continue
		}
		total++
		if request.Outcome == outcome {
			matching++
		}
	}
	return float64(matching) / float64(max(total, 1))
}

// Floor is the use of sound servers in one window.
type Floor struct {
	From time.Duration
	// Sound is the number of sound servers, Used the number of those that got a request.
	Sound int
	Used  int
}

// Share returns the share of sound servers in use.
func (f Floor) Share() float64 { return float64(f.Used) / float64(max(f.Sound, 1)) }

// Floors returns the use of sound servers in each window of a length, in steps of a quarter
// of it, from a time on. A server is sound if it had no fault of its own in the window and in
// the time before it, and no noise in the window and shortly before.
func (r *Result) Floors(from, window time.Duration) []Floor {
	last := r.Requests[len(r.Requests)-1].ArrivedAt
	var floors []Floor
	for ; from+window <= last; from += window / 4 {
		floor := Floor{From: from}
		used := make(map[int]bool)
		for _, a := range r.Arrivals {
			if a.At >= from && a.At < from+window {
				used[a.Server] = true
			}
		}
		for i, s := range r.servers {
			if !s.soundDuring(from, from+window) {
				continue
			}
			floor.Sound++
			if used[i] {
				floor.Used++
			}
		}
		floors = append(floors, floor)
	}
	return floors
}
