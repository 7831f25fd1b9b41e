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
	// queueCost weighs requests that wait at a server against those that run.
	queueCost = 2.0
	// distanceCost is that of another failure domain, in shares of a server's
	// slots: bytes between failure domains are paid for.
	distanceCost = 0.75
	// coldFactor and coldCost weigh a server that started a short time ago; it
	// works at about half its speed.
	coldFactor = 2.0
	coldCost   = 0.5
	// stallFactor is how many times the usual duration makes an attempt stalled.
	// One request in a hundred takes five times as long on a sound server.
	stallFactor = 2.2
	// stallSlack covers the delay of the network and of other failure domains.
	stallSlack = 40 * time.Millisecond
	// trialPause is the time before the first trial of a suspected server; it
	// doubles with each failure.
	trialPause    = 400 * time.Millisecond
	maxTrialPause = 1600 * time.Millisecond
	// shortHold and longHold are the times before a suspected server may get a
	// request that is not idempotent, in services without and with idempotent
	// requests.
	shortHold = 2 * time.Second
	longHold  = 6 * time.Second
	maxHold   = 12 * time.Second
	// maxDoublings bounds the growth of pauses.
	maxDoublings = 3
	// passesNeeded clears a suspicion: a server that stalls nine requests in ten
	// passes two trials in a row once in a hundred times.
	passesNeeded = 2
	// strikeMemory is how long failures add up.
	strikeMemory = 20 * time.Second
	// cutPause is how long a server that could not be reached is left out; it
	// doubles with each failure.
	cutPause    = 500 * time.Millisecond
	maxCutPause = 4 * time.Second
	// trialMemory is how long a service counts as one with idempotent requests.
	trialMemory = 4 * time.Second
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
	Suspected(info registry.Server, cause Result, age time.Duration, strikes int)
	Cleared(info registry.Server, after time.Duration)
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
	// idempotentAt is when the last idempotent request came.
	idempotentAt time.Time
	usual        estimates
}

// NewPool returns a pool without servers.
func NewPool(options Options) *Pool {
	return &Pool{options: options, servers: make(map[registry.Incarnation]*server), usual: make(estimates)}
}

// Lease is an outstanding attempt on a server. It must be finished.
type Lease struct {
	Server registry.Server
	// Trial says that the attempt tests a suspected server.
	Trial bool
	// Expected is the usual duration.
	Expected time.Duration

	pool       *Pool
	server     *server
	kind       Kind
	started    time.Time
	stallAfter time.Duration
	done       bool
}
