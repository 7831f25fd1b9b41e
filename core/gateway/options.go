package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
)

// Clock returns the time and periodic ticks.
type Clock interface {
	fleet.Clock
	// NewTicker returns a channel that receives the time at each interval, and a
	// function that stops it.
	NewTicker(interval time.Duration) (c <-chan time.Time, stop func())
}

// Peers sends datagrams to other instances. It must not block.
type Peers interface {
	SendHeartbeat(heartbeat workset.Heartbeat, recipients []fleet.Address)
	SendReport(report Report, recipients []fleet.Address)
}

// Report holds the requests in flight and the failures of servers as an active instance
// sees them. It is sent to the other active instances.
type Report struct {
	Sender        fleet.Member
	ServerReports []balance.ServerReport
	// Quota is the use of customers that the sender admitted.
	Quota quota.Report
}

// StoreFollower reads the store. Its methods must not block.
type StoreFollower interface {
	SetMode(mode follow.Mode)
	// ReadConfiguration reads the configuration once, if the follower does not read the store.
	ReadConfiguration()
}

// CopyFetcher fetches what is newer in the copies of peers. Its methods must not block.
type CopyFetcher interface {
	// FetchChanges requests the changes of the server listing after a known position.
	FetchChanges(peer fleet.Address, known fleet.Position)
	// FetchConfiguration names a peer that has a newer configuration.
	FetchConfiguration(peer fleet.Address, version fleet.Version)
}

// Traffic counts the requests of this instance.
type Traffic interface {
	// RequestsStarted returns the number of requests since the start of the process.
	RequestsStarted() int64
}

// Events receives the changes of the control state. It must not block.
type Events interface {
	balance.Events
	PeerJoined(member fleet.Member)
	RoleChanged(role workset.Role, livePeers int)
	WorkingSetChanged(active []fleet.Address)
	ConfigAdopted(version fleet.Version)
	ConfigRefused(version fleet.Version, reason error)
	ListingApplied(position fleet.Position, servers int, outage bool)
	ServerChanged(server registry.Server)
	ServerRemoved(server fleet.ServerID, lapsed bool)
	StoreLost(err error)
	StoreRegained(after time.Duration)
	// ReadingChanged reports that this instance reads the store in another way, with the time
	// since its copy was last confirmed.
	ReadingChanged(mode follow.Mode, copyAge time.Duration)
	// CopyFetched reports the end of a fetch from a peer, also of one that failed.
	CopyFetched(report follow.FetchReport)
	// MachineSlowChanged reports that the machine has become slow or has recovered,
	// with the mean lag of its ticks.
	MachineSlowChanged(slow bool, lag time.Duration)
	// ServersUnused reports how many servers of a service this instance does not keep in
	// use although it has to, at most once per unusedReportInterval, and once zero.
	ServersUnused(service fleet.ServiceName, counts balance.Counts)
	Stopping()
}

// Options configures a Loop.
type Options struct {
	Self  workset.Heartbeat
	Seeds []fleet.Address
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart    bool
	Clock         Clock
	Peers         Peers
	StoreFollower StoreFollower
	CopyFetcher   CopyFetcher
	Traffic       Traffic
	Random        balance.Random
	Events        Events
	// Quota is the retry quota of the whole fleet. Each instance uses a part of it.
	Quota retry.Quota
	// SettleTime is the time after the end of a disruption from which on no server may be used
	// that has left; a default if it is zero.
	SettleTime time.Duration
	// Floor is the share of the servers of a service that are kept in use; a default if it
	// is zero.
	Floor float64
	// Quotas limits the requests of customers.
	Quotas *quota.Limiter
	// Link is the network link of this machine.
	Link fleet.Bandwidth
}

const (
	// tickInterval is the interval of the periodic work of the control goroutine.
	tickInterval = 100 * time.Millisecond
	// idleTicksPerUpdate is the number of ticks between two computations of the working
	// set on an idle instance.
	idleTicksPerUpdate = 3
	// maxPromptRank is the highest rank whose instances compute their role at once when another
	// one reports that the store refuses it, and call the store again soon after a failure.
	maxPromptRank = 1
	// contactsWait is how long a new instance waits for contacts before it reads the
	// store. Callers may be waiting already, and a seed replies within about 10 ms.
	contactsWait = 100 * time.Millisecond
	// peerCopyWait is how long a new instance waits for the copy of a peer that has one.
	peerCopyWait = 700 * time.Millisecond
	// firstStartContactsWait is how long instances wait until all others have joined when
	// the whole fleet starts for the first time. firstStartCopyWait is how long an
	// instance that is not the store reader then waits for the copy of the reader.
	firstStartContactsWait = time.Second
	firstStartCopyWait     = 2500 * time.Millisecond
	// minReadTime is how long an instance goes on reading the store at least if peers did not
	// deliver the changes that they announced.
	minReadTime = 2 * time.Second
	// queueSize bounds the queued commands.
	queueSize = 256
	// freezeGap is the time without a tick after which the process counts as frozen in
	// between. For resumeDelay afterwards, messages may be as old as the gap: those that
	// waited in the buffers are read within a few milliseconds.
	freezeGap   = time.Second
	resumeDelay = 250 * time.Millisecond
	// resumePatience is how long an instance then waits for a heartbeat of the store reader
	// before it reads the store itself.
	resumePatience = 300 * time.Millisecond
	// unknownAge is reported as the age of the copy while there is none.
	unknownAge = time.Hour
	// lapseGrace is how long a server that is missing after an outage or a restore of the
	// store is kept. A live server renews its entry within about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// defaultSettleTime is the SettleTime for a platform that does not set one.
	defaultSettleTime = 3 * time.Second
	// settleMargin is how long before the end of SettleTime the last missing server is removed.
	// It covers the tick that removes it, and requests on their way to it.
	settleMargin = 150 * time.Millisecond
	// oldCopyAge is the age at which the copy counts as old. At this age, the store
	// has not confirmed the copy to any instance for the duration of several watches.
	oldCopyAge = 2 * time.Second
	// remoteFetchDelay is how long the own copy must be behind before a newer one is
	// fetched from another failure domain: traffic between failure domains is paid for
	// by the byte.
	remoteFetchDelay = 400 * time.Millisecond
	// overdueCopyAge is the age of the copy from which on a store reader fetches the
	// copies of peers as well, and other instances read the store. The reader confirms its
	// copy each 0.8 s and says so each 0.2 s, so that one lost heartbeat is no reason.
	overdueCopyAge = 1250 * time.Millisecond
	// maxBatches and maxChanges bound the changes that are stored for peers.
	// maxFetchedChanges bounds those in one call, which must fit into a short time also
	// on a slow link.
	maxBatches        = 256
	maxChanges        = 8192
	maxFetchedChanges = 1024
	// announcementTTL is how long an announcement of a newer copy counts. Idle instances
	// repeat it each second.
	announcementTTL = 2500 * time.Millisecond
	// configPatience is how long this instance waits for a newer configuration of peers
	// before it reads it from the store, at most once in configReadInterval.
	configPatience     = 700 * time.Millisecond
	configReadInterval = time.Second
	// rankDelay is how much longer an instance waits for each instance that ranks before it,
	// up to maxRankDelay, before it reads the store. A listing takes about 30 ms, and is then
	// announced at once. overdueCopyAge, maxRankDelay, a tick and a call are together less than
	// 2 s, in which a change must be in force everywhere.
	rankDelay    = 25 * time.Millisecond
	maxRankDelay = 300 * time.Millisecond
	// listingPatience is how long this instance waits for changes of servers that peers
	// have before it reads the store. It is extended by the rank too.
	listingPatience = 900 * time.Millisecond
	// rateWeight is the weight of one measurement in the moving average of the request
	// rate.
	rateWeight = 0.05
	// quotaShare is the share of the quota's ratio that instances use. The rest is for
	// retries of callers that reached no instance.
	quotaShare = 0.9
	// spareQuotaParts is added to the number of active instances by which the allowance
	// is divided. The reserved parts are for instances that become active within a
	// window.
	spareQuotaParts = 2
)
