package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/standin/jsontime"
)

//go:generate ../../.tools/enumer -type=FaultKind -trimprefix=Fault -transform=kebab -text -yaml=false -output=faultkind_enumer.go

// FaultKind says how a server fails.
type FaultKind uint8

const (
	// FaultNone means that the server works.
	FaultNone FaultKind = iota
	// FaultStall accepts requests and never answers them.
	FaultStall
	// FaultSlow multiplies the service time by the factor.
	FaultSlow
	// FaultFail answers 500.
	FaultFail
	// FaultFlap alternates between stalling and working, each for one period.
	FaultFlap
	// FaultRefuse closes all connections and refuses new ones.
	FaultRefuse
	// FaultTruncate closes the connection in the middle of a body.
	FaultTruncate
)

// Fault is one way to fail. A fault replaces the one before it.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Factor multiplies the service time of a slow server.
	Factor float64 `json:"factor,omitempty"`
	// Share is the part of requests that the fault meets; zero means all.
	Share float64 `json:"share,omitempty"`
	// Period is how long each phase of a flapping server lasts.
	Period jsontime.Duration `json:"period,omitempty"`
	// Seed makes the choice of the requests that are met repeatable.
	Seed uint64 `json:"seed,omitempty"`
	// ReportedLoad is reported in place of the true load if it is given.
	ReportedLoad *int `json:"load,omitempty"`
}

var errBadFault = eris.New("bad fault")

// check fails on a fault that would meet no request as it is meant to.
func (f Fault) check() error {
	if f.Kind == FaultSlow && f.Factor <= 0 {
		return eris.Wrap(errBadFault, "slow needs a factor above 0")
	}
	if f.Share < 0 || f.Share > 1 || f.Period < 0 {
		return eris.Wrap(errBadFault, "share must be 0 to 1 and period not negative")
	}
	return nil
}

// defaultPeriod applies to a flapping server without a period.
const defaultPeriod = time.Second

// faults holds the fault in force and draws the requests that it meets.
type faults struct {
	mu    sync.Mutex
	fault Fault
	since time.Time
	rng   *rand.Rand
}

func newFaults() *faults {
	return &faults{rng: rand.New(rand.NewPCG(0, 0))}
}

// set replaces the fault in force.
func (f *faults) set(now time.Time, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.since = now
	f.rng = rand.New(rand.NewPCG(fault.Seed, 0))
}

// draw returns the fault that meets a request which starts now.
func (f *faults) draw(now time.Time) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	met := f.fault
	if met.Kind == FaultFlap {
		met.Kind = flapPhase(now.Sub(f.since), met.Period.Std())
	}
	if met.Share > 0 && f.rng.Float64() >= met.Share {
		met.Kind = FaultNone
	}
	return met
}

// reportedLoad returns the load that an answer states for a true load.
func (f *faults) reportedLoad(load int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.ReportedLoad != nil {
		return *f.fault.ReportedLoad
	}
	return load
}

// flapPhase returns what a flapping server does after the given time; the
// first phase stalls.
func flapPhase(elapsed, period time.Duration) FaultKind {
	if period <= 0 {
		period = defaultPeriod
	}
	if elapsed/period%2 == 0 {
		return FaultStall
	}
	return FaultNone
}
