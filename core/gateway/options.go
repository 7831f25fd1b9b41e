package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
)

// Clock gives the time and ticks.
type Clock interface {
	fleet.Clock
	// NewTicker returns a channel of ticks and a function that ends them.
	NewTicker(every time.Duration) (c <-chan time.Time, stop func())
}

// Peers sends datagrams to other instances. It must not block.
type Peers interface {
	SendHeartbeat(beat workset.Heartbeat, to []fleet.Address)
	SendReport(report Report, to []fleet.Address)
}

// Report is what an active instance tells the other active ones about servers.
type Report struct {
	Sender        fleet.Member
	ServerReports []balance.ServerReport
}

// StoreFollower starts and ends the reading of the store.
type StoreFollower interface {
	SetEnabled(on bool)
}

// CopyFetcher fetches what a peer knows of the store beyond a revision. It must not
// block.
type CopyFetcher interface {
	Fetch(peer fleet.Address, known fleet.Revision)
}

// Traffic says what this instance carries.
type Traffic interface {
	// RequestsStarted returns the number of requests so far.
	RequestsStarted() int64
}

// Events takes what changes in the control state. It must not block.
type Events interface {
	balance.Events
	PeerJoined(member fleet.Member)
	RoleChanged(place workset.Role, live int)
	WorkingSetChanged(active []fleet.Address)
	ConfigAdopted(version fleet.Version)
	ConfigRefused(version fleet.Version, reason error)
	ListingApplied(revision fleet.Revision, servers int, outage bool)
	ServerChanged(server registry.Server)
	ServerRemoved(server fleet.ServerID, lapsed bool)
	StoreLost(err error)
	StoreRegained(after time.Duration)
	CopyFetchFailed(peer fleet.Address, err error)
	// MachineSlowChanged reports that the machine has become slow, or is no longer, with the
	// mean lag of its ticks.
	MachineSlowChanged(slow bool, lag time.Duration)
	Stopping()
}

// Options set up a Loop.
type Options struct {
	Self  workset.Heartbeat
	Seeds []fleet.Address
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart    bool
	Clock         Clock
	Peers         Peers
	StoreFollower StoreFollower
	CopyFetcher   CopyFetcher
	Traffic       Traffic
	Random        balance.Random
	Events        Events
	// Quota is that of the whole fleet.
	Quota retry.Quota
}

const (
	// tickEvery is the interval of the control goroutine's own work.
	tickEvery = 100 * time.Millisecond
	// idleTicks is the number of ticks of an idle instance for one computation of
	// the order of instances.
	idleTicks = 3
	// firstHelpers and lastHelpers are the ranks up to which instances read the
	// store when the copy is older than ownAfter, and helpPause later.
	firstHelpers = 1
	lastHelpers  = 3
	helpPause    = 400 * time.Millisecond
	// meetWait is how long a new instance waits to hear of others. Callers may be
	// waiting already, and an answer of a seed takes about 10 ms.
	meetWait = 100 * time.Millisecond
	// copyWait is how long it waits for a copy of another instance.
	copyWait = 700 * time.Millisecond
	// meetAllWait is how long instances that start for the first time wait until
	// all have met, and firstWait how long they wait for the copy of the reader.
	meetAllWait = time.Second
	firstWait   = 2500 * time.Millisecond
	// helpFor is how long they go on.
	helpFor = 10 * time.Second
	// queueSize bounds the commands that wait.
	queueSize = 256
	// unknownAge stands for the age of a copy that was never read.
	unknownAge = time.Hour
	// lapseGrace is how long a server that is missing after an outage of the
	// store is kept. A live one renews its entry in about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// agedAfter is the age from which the copy is old: the store has confirmed it to
	// no instance for several watches.
	agedAfter = 2 * time.Second
	// distantAfter is how long the own copy must be behind before a peer of
	// another failure domain is asked: bytes between them are paid for.
	distantAfter = 400 * time.Millisecond
	// ownAfter is the age of the copy at which an instance that reads the store
	// itself asks peers as well.
	ownAfter = 1250 * time.Millisecond
	// maxBatches and maxChanges bound the changes that are kept for peers.
	maxBatches = 64
	maxChanges = 512
	// rateWeight is the weight of one tick in the rate of requests.
	rateWeight = 0.05
	// quotaShare is the share of the quota's ratio that is used; the rest covers
	// requests whose callers reached no instance.
	quotaShare = 0.9
	// quotaParts is the number of instances beyond the active ones among which
	// the allowance is divided, for those that replace others within a window.
	quotaParts = 2
)
