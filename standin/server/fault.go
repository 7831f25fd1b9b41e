package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/standin/jsontime"
)

//go:generate ../../.tools/enumer -type=FaultKind -trimprefix=Fault -transform=kebab -text -yaml=false -output=faultkind_enumer.go

// FaultKind is the way in which a server fails.
type FaultKind uint8

const (
	// FaultNone serves requests normally.
	FaultNone FaultKind = iota
	// FaultStall accepts requests and never responds to them.
	FaultStall
	// FaultSlow multiplies the service time by Fault.Factor.
	FaultSlow
	// FaultFail returns status 500 after the service time.
	FaultFail
	// FaultFlap alternates between FaultStall and FaultNone, each for one period.
	FaultFlap
	// FaultRefuse closes all connections and refuses new ones.
	FaultRefuse
	// FaultTruncate closes the connection in the middle of the response body.
	FaultTruncate
)

// Fault is a fault with its parameters. A new fault replaces the current one.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Factor multiplies the service time of a slow server.
	Factor float64 `json:"factor,omitempty"`
	// Share is the share of requests that the fault affects, from 0 to 1; zero
	// means all.
	Share float64 `json:"share,omitempty"`
	// Period is the duration of each phase of a flapping server; zero means the
	// default of one second.
	Period jsontime.Duration `json:"period,omitempty"`
	// Seed makes the choice of affected requests repeatable.
	Seed uint64 `json:"seed,omitempty"`
	// ReportedLoad, if set, replaces the true load in responses.
	ReportedLoad *int `json:"load,omitempty"`
}

var errInvalidFault = eris.New("bad fault")

// validate returns an error if a parameter is out of range, since such a fault
// would not affect requests as intended.
func (f Fault) validate() error {
	if f.Kind == FaultSlow && f.Factor <= 0 {
		return eris.Wrap(errInvalidFault, "slow needs a factor above 0")
	}
	if f.Share < 0 || f.Share > 1 || f.Period < 0 {
		return eris.Wrap(errInvalidFault, "share must be 0 to 1 and period not negative")
	}
	return nil
}

// defaultPeriod is the phase duration of a flapping server without a period.
const defaultPeriod = time.Second

// faultInjector holds the current fault and decides which requests it affects.
type faultInjector struct {
	mu    sync.Mutex
	fault Fault
	setAt time.Time
	rng   *rand.Rand
}

func newFaultInjector() *faultInjector {
	return &faultInjector{rng: rand.New(rand.NewPCG(0, 0))}
}

// setFault replaces the current fault and restarts its phases and its random
// choices.
func (f *faultInjector) setFault(now time.Time, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.setAt = now
	f.rng = rand.New(rand.NewPCG(fault.Seed, 0))
}

// nextFault returns the fault to apply to a request that starts now. Its kind is
// FaultNone if the request is not affected.
func (f *faultInjector) nextFault(now time.Time) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	if fault.Kind == FaultFlap {
		fault.Kind = flapPhase(now.Sub(f.setAt), fault.Period.Std())
	}
	if fault.Share > 0 && f.rng.Float64() >= fault.Share {
		fault.Kind = FaultNone
	}
	return fault
}

// reportedLoad returns the load to report in a response: the load that the fault
// sets, or else the number of requests in flight.
func (f *faultInjector) reportedLoad(requestsInFlight int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.ReportedLoad != nil {
		return *f.fault.ReportedLoad
	}
	return requestsInFlight
}

// flapPhase returns the fault kind of a flapping server when the given time has
// elapsed since the fault was set. The first phase stalls.
func flapPhase(elapsed, period time.Duration) FaultKind {
	if period <= 0 {
		period = defaultPeriod
	}
	if elapsed/period%2 == 0 {
		return FaultStall
	}
	return FaultNone
}
