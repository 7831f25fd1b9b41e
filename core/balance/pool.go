package balance

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

const (
	// reportedLoadTTL is the time for which the load reported by a server is used. The
	// load changes again within about the duration of a request.
	reportedLoadTTL = 150 * time.Millisecond
	// A cost of 1 equals the certain failure of a request, which is the worst
	// result of a choice.

	// busyCost is the cost of a server whose slots are all occupied. It spreads
	// requests over idle servers.
	busyCost = 0.01
	// waitCost is the cost of a wait for a slot in addition to the delay. It equals that of
	// the last rank and a new connection together, so that neither justifies a wait. The last
	// free slot costs half of it if other instances may have taken it since their report.
	waitCost = 0.02
	// latenessCost and latenessSquareCost weigh the wait and the extra duration of a
	// request, as a fraction of the time that its latency objective leaves.
	latenessCost       = 0.1
	latenessSquareCost = 0.5
	// remoteDomainCost is the cost of a server in another failure domain for the delay of
	// the network, remoteByteCost the cost of each byte in either direction, because
	// traffic between failure domains is billed.
	remoteDomainCost = 0.02
	remoteByteCost   = 1e-5
	// coldFactor and coldCost apply to a server that started recently and runs at
	// about half its speed.
	coldFactor = 2.0
	coldCost   = 0.01
	// cutCost is the cost of a server that was recently unreachable.
	cutCost = 2.0
	// hedgedFailureWeight scales the failure probability for requests that can be
	// hedged on a second server.
	hedgedFailureWeight = 0.15
	// staleDiscount is the largest discount on the cost of a server without recent
	// attempts; it is reached after staleTime. It applies to idempotent requests,
	// which test such servers on behalf of the other requests.
	staleDiscount = 0.04
	staleTime     = 2 * time.Second
	// minTrialInterval is the time between two trials of a suspected server; it
	// doubles with each consecutive stall, at most maxTrialDoublings times.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 3 * time.Second
	// lowUtilization is the utilization below which trials are
	// lowUtilizationTrialInterval apart.
	lowUtilization              = 0.45
	lowUtilizationTrialInterval = 1500 * time.Millisecond
	// trialTimeFactor is the duration of a trial followed by a second attempt, as a
	// multiple of the expected duration.
	trialTimeFactor   = 2.6
	maxTrialDoublings = 2
	// stallFactor is the multiple of the expected duration after which an attempt
	// counts as stalled. One request in a hundred takes five times as long on a
	// healthy server.
	stallFactor = 2.0
	// stallMargin covers the network delay, also between failure domains.
	stallMargin = 30 * time.Millisecond
	// minCutBackoff is the time for which an unreachable server is avoided; it doubles
	// with each consecutive failure.
	minCutBackoff = 500 * time.Millisecond
	maxCutBackoff = 4 * time.Second
	// maxCutDoublings limits the doublings of minCutBackoff.
	maxCutDoublings = 3
	// slownessWeight is the weight of one response in the slowness of a server.
	slownessWeight = 0.15
	// maxSlowness limits the contribution of one response to the slowness.
	maxSlowness = 6.0
)

// Random is a source of random numbers that is safe for concurrent use.
type Random interface {
	Float64() float64
}

// Events receives changes of the state of servers. Its methods are called with the
// lock of the pool held and must not block.
type Events interface {
	ServerSuspected(info registry.Server, cause Result, duration time.Duration, probability float64)
	ServerCleared(info registry.Server, after time.Duration)
	// ServerAnnouncedLeaving reports the first response in which a server said that it
	// leaves, ServerPaused the first response of a pause that it asked for.
	ServerAnnouncedLeaving(info registry.Server)
	ServerPaused(info registry.Server, pause time.Duration)
}

// Options configures a Pool.
type Options struct {
	Instance fleet.InstanceID
	// Domain is the failure domain of this instance.
	Domain fleet.Domain
	// Floor is the share of the servers that are kept in use; DefaultFloor if it is zero.
	Floor float64
	// Link is the network link of this instance.
	Link   fleet.Bandwidth
	Random Random
	Events Events
}

// Pool chooses among the servers of one service. It is safe for concurrent use.
type Pool struct {
	options Options

	mu            sync.Mutex
	byIncarnation map[registry.Incarnation]*server
	// live holds the listed servers that are not leaving.
	live  []*server
	byKey map[ServerKey]*server
	// fullReportAt is the time of the last report of all servers.
	fullReportAt time.Time
	durations    durationEstimates
	sizes        sizeEstimates
	// recentAttempts and coveredAt control coverage; coveredAt is the time of the last
	// coverage request to a suspected server.
	recentAttempts attemptCounter
	coveredAt      time.Time
	// requestsSinceSuspected is the number of requests since that one.
	requestsSinceSuspected int
	// strainedElsewhere is set while the instances of other failure domains withhold requests
	// from many servers.
	strainedElsewhere bool
	// helpUntil and cutHelpUntil are the times until which this instance needs help to keep
	// the floor, with suspected servers and with those that it cannot reach.
	helpUntil    time.Time
	cutHelpUntil time.Time
	// coverFailures is the moving average of the share of requests that failed among those
	// that covered a server in calm times.
	coverFailures float64
	// unattended holds the failure domains without an active instance that gets requests.
	unattended map[fleet.Domain]bool
	// active holds the active instances of the own failure domain.
	active []fleet.InstanceID
	// requestsSinceAssistance is the number of requests since one covered a server of another
	// failure domain that withholds requests from it.
	requestsSinceAssistance int
	assistance              attemptCounter
	waitLimits              queueWaitLimits
	notices                 notices
}

// DefaultFloor is the share of the servers that are kept in use if no other is set.
const DefaultFloor = 0.7

// NewPool returns a pool without servers.
func NewPool(options Options) *Pool {
	if options.Floor <= 0 {
		options.Floor = DefaultFloor
	}
	return &Pool{
		options:       options,
		byIncarnation: make(map[registry.Incarnation]*server),
		byKey:         make(map[ServerKey]*server),
		durations:     make(durationEstimates),
		sizes:         make(sizeEstimates),
		notices:       make(notices),
		coverFailures: baselineProbability,
	}
}

// Attempt is an outstanding attempt on a server. It must be ended with Finish.
type Attempt struct {
	Server registry.Server
	// Trial is set if the attempt tests a suspected server.
	Trial bool
	// Coverage is set if the attempt keeps a server in use that would get no request by
	// its estimate.
	Coverage bool
	// ExpectedDuration is the expected duration of the request, without the wait for
	// a slot.
	ExpectedDuration time.Duration
	// FailureProbability and ServerRequests are the estimated failure probability of
	// the server and its known number of requests when it was chosen.
	FailureProbability float64
	ServerRequests     int

	pool       *Pool
	server     *server
	kind       RequestKind
	idempotent bool
	startedAt  time.Time
	// previousUseAt is when the server was last used before.
	previousUseAt time.Time
	// expectedWait is the estimated time until the server begins with the attempt: the time
	// that the body needs on the link, and the wait for a slot.
	expectedWait time.Duration
	stallAfter   time.Duration
	finished     bool
	// calmCoverage is set if the attempt covers a server in calm times.
	calmCoverage bool
	// assistance is set if the attempt covers a server that the instances of its own failure
	// domain withhold requests from.
	assistance bool
}
