package decisionlog

import "time"

// Event is the kind of a line.
type Event string

// Events of requests.
const (
	// RequestFinished reports the result of a request, with all its attempts.
	RequestFinished Event = "request"
)

// Events of the control state.
const (
	ServerSuspected Event = "server-suspected"
	ServerCleared   Event = "server-cleared"
	// ServerAnnounced reports that a server said in a response that it leaves or wants a
	// pause.
	ServerAnnounced   Event = "server-announced"
	ServerChanged     Event = "server-changed"
	ServerRemoved     Event = "server-gone"
	ListingApplied    Event = "list-read"
	ConfigAdopted     Event = "config-in-force"
	ConfigRefused     Event = "config-refused"
	StoreLost         Event = "store-lost"
	StoreRegained     Event = "store-regained"
	ReadingChanged    Event = "store-reading"
	CopyFetched       Event = "copy-fetched"
	CopyFetchFailed   Event = "copy-missed"
	PeerJoined        Event = "peer-joined"
	RoleChanged       Event = "place-changed"
	WorkingSetChanged Event = "working-set-changed"
	// MachineSlowChanged reports that the machine has become slow or has recovered.
	MachineSlowChanged Event = "machine-slow"
	// ServersUnused reports how many servers this instance does not keep in use although
	// it has to.
	ServersUnused Event = "servers-unused"
)

// Events of the process.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	SettingsReloaded Event = "reloaded"
	// LinesDropped reports the number of lines dropped since the previous event of
	// this kind.
	LinesDropped Event = "lines-dropped"
)

// Line is one log line. Fields that do not apply are zero and omitted from the JSON.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    Event     `json:"event"`

	// ID is the id of the request.
	ID       string `json:"id,omitempty"`
	Route    string `json:"route,omitempty"`
	Service  string `json:"service,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Quota is the decision that refused the request by the quota of its customer.
	Quota *Quota `json:"quota,omitempty"`
	// Priority is the priority of the request, 0 for the most urgent.
	Priority int `json:"priority,omitempty"`
	// UsedSlots and FairShareSlots are what the customer used of the service and its fair
	// share, for a request that was refused because of that.
	UsedSlots      float64 `json:"used_slots,omitempty"`
	FairShareSlots float64 `json:"fair_share_slots,omitempty"`
	// RetryAfterMS is the retry delay of a refusal.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	Idempotent   bool  `json:"idempotent,omitempty"`
	// ConfigVersion and ListingRevision identify the configuration and the server
	// listing in use.
	ConfigVersion   uint64 `json:"version,omitempty"`
	ListingRevision uint64 `json:"revision,omitempty"`
	// ListingEra is the era of the store that ListingRevision belongs to; zero if the store
	// reports none.
	ListingEra uint64 `json:"era,omitempty"`
	// KnownGeneration is the revision or version that the instance had when it asked a
	// peer for a newer one.
	KnownGeneration uint64 `json:"known,omitempty"`
	// KnownEra is the era that KnownGeneration belongs to.
	KnownEra uint64 `json:"known_era,omitempty"`
	// ListingAgeMS is the time since the listing was last confirmed.
	ListingAgeMS int64  `json:"list_age_ms,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	Code         string `json:"code,omitempty"`
	Status       int    `json:"status,omitempty"`
	DurationMS   int64  `json:"took_ms,omitempty"`
	// TimeLeftMS is the time left until the caller's deadline.
	TimeLeftMS int64     `json:"left_ms,omitempty"`
	CallerLeft bool      `json:"caller_left,omitempty"`
	Attempts   []Attempt `json:"attempts,omitempty"`

	Server string `json:"server,omitempty"`
	Peer   string `json:"peer,omitempty"`
	State  string `json:"state,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// FailureProbability is the estimated probability, from 0 to 1, that the server
	// fails its requests.
	FailureProbability float64  `json:"failing,omitempty"`
	Count              int64    `json:"count,omitempty"`
	CutCount           int64    `json:"cut,omitempty"`
	SuspectedCount     int64    `json:"suspected,omitempty"`
	ReceivedBytes      int64    `json:"bytes,omitempty"`
	AgeMS              int64    `json:"age_ms,omitempty"`
	Addresses          []string `json:"list,omitempty"`
}

// Quota holds the numbers that decided on a request, in requests in the last window.
type Quota struct {
	Reason string `json:"reason"`
	// Own and Known are what this instance and all instances admitted.
	Own   float64 `json:"own"`
	Known float64 `json:"known"`
	// Limit is what all instances may admit, Share what this one may.
	Limit float64 `json:"limit"`
	Share float64 `json:"share"`
}

// Attempt is one attempt of a request on a server.
type Attempt struct {
	Server string `json:"server"`
	// StartOffsetMS is the time from the arrival of the request to the start of the
	// attempt.
	StartOffsetMS      int64 `json:"at_ms"`
	DurationMS         int64 `json:"took_ms"`
	ExpectedDurationMS int64 `json:"expected_ms"`
	// FailureProbability is the estimated probability that the server fails, and
	// ServerRequests the number of its requests in flight, both at the time when the
	// server was chosen.
	FailureProbability float64 `json:"failing"`
	ServerRequests     int     `json:"busy"`
	Result             string  `json:"result"`
	Status             int     `json:"status,omitempty"`
	Trial              bool    `json:"trial,omitempty"`
	// Coverage is set if the attempt keeps the server in use.
	Coverage bool   `json:"cover,omitempty"`
	Hedge    bool   `json:"hedge,omitempty"`
	Error    string `json:"error,omitempty"`
}
