package balance

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

const (
	// reportLife is how long a load that a server stated is believed; an answer
	// takes about as long as the next change of the load.
	reportLife = 150 * time.Millisecond
	// Costs are in probabilities of a failed request, which is the worst that a
	// choice can bring. busyCost spreads requests over idle servers.
	busyCost = 0.01
	// lateCost and lateSquareCost weigh the time that a request waits or takes
	// longer, as a share of the time that its objective leaves.
	lateCost       = 0.1
	lateSquareCost = 0.5
	// distanceCost is that of another failure domain: bytes between failure
	// domains are paid for.
	distanceCost = 0.08
	// coldFactor and coldCost weigh a server that started a short time ago; it
	// works at about half its speed.
	coldFactor = 2.0
	coldCost   = 0.01
	// cutCost is that of a server that could not be reached a moment ago.
	cutCost = 2.0
	// hedgedShare is the weight of a failing server for a request that can be
	// sent to a second one.
	hedgedShare = 0.15
	// staleBonus is what an idempotent request gains where nothing was learnt
	// for staleTime or longer; it finds out about servers for the others.
	staleBonus = 0.04
	staleTime  = 2 * time.Second
	// trialPause is the time between trials of a suspected server; it doubles
	// with each that brings no answer.
	trialPause    = 500 * time.Millisecond
	maxTrialPause = 3 * time.Second
	// roomy is the utilization below which trials pause for roomyTrialPause.
	roomy           = 0.45
	roomyTrialPause = 1500 * time.Millisecond
	// trialRounds is the time that a trial and a second attempt take, in usual
	// durations.
	trialRounds  = 2.6
	maxDoublings = 2
	// stallFactor is how many times the usual duration makes an attempt stalled.
	// One request in a hundred takes five times as long on a sound server.
	stallFactor = 2.0
	// stallSlack covers the delay of the network and of other failure domains.
	stallSlack = 30 * time.Millisecond
	// cutPause is how long a server that could not be reached is left out; it
	// doubles with each failure.
	cutPause    = 500 * time.Millisecond
	maxCutPause = 4 * time.Second
	// maxCutDoublings bounds its growth.
	maxCutDoublings = 3
	// slowMemory is the weight of one answer in the slowness of a server.
	slowMemory = 0.15
	// maxSlowness bounds the slowness.
	maxSlowness = 6.0
)

// Random gives random numbers and may be used concurrently.
type Random interface {
	Float64() float64
}

// Events takes the changes of belief. Its methods are called under the lock of
// the pool and must not block.
type Events interface {
	ServerSuspected(info registry.Server, cause Result, age time.Duration, failing float64)
	ServerCleared(info registry.Server, after time.Duration)
}

// Options set up a Pool.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain fleet.Domain
	Random Random
	Events Events
}

// Pool chooses among the servers of one service. It is safe for concurrent use.
type Pool struct {
	options Options

	mu      sync.Mutex
	servers map[registry.Incarnation]*server
	list    []*server
	keys    map[ServerKey]*server
	toldAt  time.Time
	usual   estimates
	// recent counts attempts for coverage, coveredAt is the last request to a
	// suspected server for that reason.
	recent    tally
	coveredAt time.Time
	patience  patience
}

// NewPool returns a pool without servers.
func NewPool(options Options) *Pool {
	return &Pool{
		options: options,
		servers: make(map[registry.Incarnation]*server),
		keys:    make(map[ServerKey]*server),
		usual:   make(estimates),
	}
}

// Attempt is an outstanding attempt on a server. It must be finished.
type Attempt struct {
	Server registry.Server
	// Trial says that the attempt tests a suspected server.
	Trial bool
	// ExpectedDuration is the usual duration.
	ExpectedDuration time.Duration
	// FailureProbability is the probability that the server fails, and Busy the number of its
	// requests, as they were known when it was chosen.
	FailureProbability float64
	ServerRequests     int

	pool       *Pool
	server     *server
	kind       RequestKind
	idempotent bool
	started    time.Time
	// waited is how long the attempt waits for a slot, as far as is known.
	waited     time.Duration
	stallAfter time.Duration
	done       bool
}
