package pattern

import (
	"math"
	"time"

	"galenaridge/core/fleet"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Share is the share of the requests of a pattern.
	Share float64
	// Priority is 0 for the most urgent requests.
	Priority   int
	Idempotent bool
	// Work is the mean time that a server needs for a request.
	Work time.Duration
	// LatencyObjective and Deadline are counted from the arrival of a request.
	LatencyObjective time.Duration
	Deadline         time.Duration
	// Worth and LateWorth are what a response within the objective and a later one is worth
	// to the caller; 1 and lateWorth if both are zero.
	Worth     float64
	LateWorth float64
	// RequestBytes is the size of the body.
	RequestBytes int
	// From is when requests of the kind begin, for a route that is moved to the service.
	From time.Duration
}

// lateWorth is the worth of a late response as a fraction of one in time.
const lateWorth = 0.3

// Customer is a customer of a pattern.
type Customer struct {
	Name fleet.Customer
	// Share is the share of the requests while no customer has a burst.
	Share float64
	Burst Burst
	// Quotas are the quotas of the customer in order of time; without any, it has none.
	Quotas []Quota
}

// Burst multiplies a rate of requests for a time; a zero Factor means no burst.
type Burst struct {
	At     time.Duration
	For    time.Duration
	Factor float64
}

// factor returns the factor of the rate at a time.
func (b Burst) factor(at time.Duration) float64 {
	if b.Factor > 0 && at >= b.At && at < b.At+b.For {
		return b.Factor
	}
	return 1
}

// weight returns the weight of the failure domain among the callers at a time.
func (d Domain) weight(at time.Duration) float64 {
	weight := d.Callers
	if weight == 0 {
		weight = 1
	}
	return weight * d.Burst.factor(at)
}

// Wave varies the rate of requests as a sine; a zero Period means no wave.
type Wave struct {
	Amplitude float64
	Period    time.Duration
}

// factor returns the factor of the rate at a time.
func (w Wave) factor(at time.Duration) float64 {
	if w.Period <= 0 {
		return 1
	}
	return 1 + w.Amplitude*math.Sin(2*math.Pi*at.Seconds()/w.Period.Seconds())
}

// Surge is a number of requests that arrive at the same moment.
type Surge struct {
	At       time.Duration
	Requests int
}

// RetryDelays decides when refused callers come back.
type RetryDelays interface {
	// RecordEnded records that an attempt of the instance has ended, which frees a slot.
	RecordEnded(now time.Duration)
	// Delay returns the Retry-After of a refusal.
	Delay(now time.Duration) time.Duration
}

// fixedDelay is the fixed delay of core/dispatch.
type fixedDelay struct{}

// RecordEnded implements RetryDelays.
func (fixedDelay) RecordEnded(time.Duration) {}

// Delay implements RetryDelays.
func (fixedDelay) Delay(time.Duration) time.Duration { return refusalWait }

// newDelays returns the delays of an instance.
func (y *player) newDelays() RetryDelays {
	if y.pattern.NewDelays == nil {
		return fixedDelay{}
	}
	return y.pattern.NewDelays(y.random)
}

// CallerKind is what callers do after a refusal.
type CallerKind uint8

const (
	// ComeBack callers come back after the retry delay while their time permits.
	ComeBack CallerKind = iota
	// GiveUp callers do not come back.
	GiveUp
)

// immediateRetries is how often a misbehaving caller sends a refused request again at once.
const immediateRetries = 3

// kinds returns the kinds of requests of the pattern.
func (p *Pattern) kinds() []Kind {
	if len(p.Kinds) == 0 {
		return nil
	}
	kinds := make([]Kind, len(p.Kinds))
	for i, k := range p.Kinds {
		if k.Worth == 0 && k.LateWorth == 0 {
			k.Worth, k.LateWorth = 1, lateWorth
		}
		kinds[i] = k
	}
	return kinds
}

// rate returns the number of requests a second at a time.
func (p *Pattern) rate(at time.Duration) float64 {
	rate := p.Rate * p.Wave.factor(at) * p.Burst.factor(at)
	if len(p.Customers) == 0 {
		return rate
	}
	total := 0.0
	for _, c := range p.Customers {
		total += c.Share * c.Burst.factor(at)
	}
	return rate * total
}
