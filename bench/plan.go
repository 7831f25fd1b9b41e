package bench

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// Kind is one kind of request in the mix.
type Kind struct {
	// Weight is the share of this kind relative to the other weights.
	Weight  float64
	Service fleet.ServiceName
	Class   fleet.Class
	Tenant  fleet.Tenant
	Method  string
	Path    string
	// Protected requests get a key each.
	Protected bool
	// MaxResends is how often a request of unknown outcome is sent again.
	MaxResends int
	// RequestBodyBytes is the size of the request body.
	RequestBodyBytes int
	// ResponseBodyBytes is the size of the body to ask for; zero asks for JSON.
	ResponseBodyBytes int
}

// Step is a time with one arrival rate.
type Step struct {
	For       time.Duration
	PerSecond float64
}

// Plan says what to send and when.
type Plan struct {
	Steps []Step
	Mix   []Kind
	// MaxRequests is the largest number of requests in total.
	MaxRequests int
	// MaxInFlight is the largest number of requests at once. Requests beyond it
	// start late, which their latency shows.
	MaxInFlight int
	// Deadline bounds each request from its start.
	Deadline time.Duration
	// Regular spaces the arrivals evenly; otherwise they are random with the
	// given mean rate.
	Regular bool
	// Seed makes the schedule and the mix repeatable. It is part of caller ids
	// and keys, so runs against the same fleet need different seeds.
	Seed uint64
}

// Limits of a plan that states none, and those that no plan may exceed.
const (
	defaultLimit    = 1_000_000
	defaultInFlight = 4096
	defaultDeadline = 2 * time.Second
	maxLimit        = 10_000_000
	maxDuration     = 30 * time.Minute
)

var errPlan = eris.New("bad plan")

// withDefaults returns the plan with each unset limit at its default. It
// fails if the plan has nothing to send or is not bounded.
func (p Plan) withDefaults() (Plan, error) {
	setDefault(&p.MaxRequests, defaultLimit)
	setDefault(&p.MaxInFlight, defaultInFlight)
	setDefault(&p.Deadline, defaultDeadline)
	if len(p.Mix) == 0 || p.MaxRequests > maxLimit || p.Duration() > maxDuration || p.Duration() <= 0 {
		return p, eris.Wrapf(errPlan, "%d kinds, %d requests, %s", len(p.Mix), p.MaxRequests, p.Duration())
	}
	for _, s := range p.Steps {
		if s.For < 0 || s.PerSecond < 0 {
			return p, eris.Wrap(errPlan, "negative step")
		}
	}
	total := 0.0
	for _, k := range p.Mix {
		total += k.Weight
		if k.Weight < 0 {
			return p, eris.Wrap(errPlan, "negative weight")
		}
	}
	if total <= 0 {
		return p, eris.Wrap(errPlan, "no weight")
	}
	return p, nil
}

// Duration returns how long requests are started.
func (p Plan) Duration() time.Duration {
	var total time.Duration
	for _, s := range p.Steps {
		total += s.For
	}
	return total
}

// schedule gives the arrivals of a plan one by one.
type schedule struct {
	plan    Plan
	rng     *rand.Rand
	step    int
	began   time.Duration
	at      time.Duration
	weights float64
	given   int
}

func newSchedule(plan Plan) *schedule {
	s := &schedule{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 4))}
	for _, k := range plan.Mix {
		s.weights += k.Weight
	}
	return s
}

// next returns the time of the next arrival from the start and its kind, or
// false at the end.
func (s *schedule) next() (time.Duration, int, bool) {
	if s.given >= s.plan.MaxRequests {
		return 0, 0, false
	}
	// The distance is in mean gaps, so that it carries over a change of rate.
	distance := 1.0
	if !s.plan.Regular {
		distance = s.rng.ExpFloat64()
	}
	for s.step < len(s.plan.Steps) {
		step := s.plan.Steps[s.step]
		end := s.began + step.For
		room := (end - s.at).Seconds() * step.PerSecond
		if distance < room {
			s.at += time.Duration(distance / step.PerSecond * float64(time.Second))
			s.given++
			return s.at, s.kind(), true
		}
		distance -= room
		s.at = end
		s.began = end
		s.step++
	}
	return 0, 0, false
}

// kind draws a kind by the weights.
func (s *schedule) kind() int {
	draw := s.rng.Float64() * s.weights
	for i, k := range s.plan.Mix {
		draw -= k.Weight
		if draw < 0 {
			return i
		}
	}
	return len(s.plan.Mix) - 1
}

func setDefault[T comparable](to *T, value T) {
	var zero T
	if *to == zero {
		*to = value
	}
}
