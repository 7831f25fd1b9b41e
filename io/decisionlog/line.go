package decisionlog

import "time"

// Event names what a line is about.
type Event string

// Events of requests.
const (
	// RequestFinished is the end of a request, with all its attempts.
	RequestFinished Event = "request"
)

// Events of what an instance believes.
const (
	ServerSuspected   Event = "server-suspected"
	ServerCleared     Event = "server-cleared"
	ServerChanged     Event = "server-changed"
	ServerRemoved     Event = "server-gone"
	ListingApplied    Event = "list-read"
	ConfigAdopted     Event = "config-in-force"
	ConfigRefused     Event = "config-refused"
	StoreLost         Event = "store-lost"
	StoreRegained     Event = "store-regained"
	CopyFetchFailed   Event = "copy-missed"
	PeerJoined        Event = "peer-joined"
	RoleChanged       Event = "place-changed"
	WorkingSetChanged Event = "working-set-changed"
	// MachineSlowChanged says that the machine lags, or no longer does.
	MachineSlowChanged Event = "machine-slow"
)

// Events of the process.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	SettingsReloaded Event = "reloaded"
	// LinesDropped says how many lines were not written since the line before.
	LinesDropped Event = "lines-dropped"
)

// Line is one log line. Fields that do not apply are left out.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    Event     `json:"event"`

	// ID is that of the request.
	ID         string `json:"id,omitempty"`
	Route      string `json:"route,omitempty"`
	Service    string `json:"service,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// ConfigVersion is that of the configuration, Revision that of the list.
	ConfigVersion   uint64 `json:"version,omitempty"`
	ListingRevision uint64 `json:"revision,omitempty"`
	// ListingAgeMS is how long ago the list was confirmed.
	ListingAgeMS int64  `json:"list_age_ms,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	Code         string `json:"code,omitempty"`
	Status       int    `json:"status,omitempty"`
	DurationMS   int64  `json:"took_ms,omitempty"`
	// TimeLeftMS is the time that was left of the caller's deadline.
	TimeLeftMS int64     `json:"left_ms,omitempty"`
	CallerLeft bool      `json:"caller_left,omitempty"`
	Attempts   []Attempt `json:"attempts,omitempty"`

	Server string `json:"server,omitempty"`
	Peer   string `json:"peer,omitempty"`
	State  string `json:"state,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// FailureProbability is the probability that the server fails its requests.
	FailureProbability float64  `json:"failing,omitempty"`
	Count              int64    `json:"count,omitempty"`
	AgeMS              int64    `json:"age_ms,omitempty"`
	Addresses          []string `json:"list,omitempty"`
}

// Attempt is one attempt of a request on a server.
type Attempt struct {
	Server string `json:"server"`
	// StartOffsetMS is when it began, from the arrival of the request.
	StartOffsetMS      int64 `json:"at_ms"`
	DurationMS         int64 `json:"took_ms"`
	ExpectedDurationMS int64 `json:"expected_ms"`
	// FailureProbability is the probability that the server fails, and Busy the number of
	// its requests, as they were known when it was chosen.
	FailureProbability float64 `json:"failing"`
	ServerRequests     int     `json:"busy"`
	Result             string  `json:"result"`
	Status             int     `json:"status,omitempty"`
	Trial              bool    `json:"trial,omitempty"`
	Hedge              bool    `json:"hedge,omitempty"`
	Error              string  `json:"error,omitempty"`
}
