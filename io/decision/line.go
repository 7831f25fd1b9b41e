package decision

import "time"

// Event names what a line is about.
type Event string

// Events of requests.
const (
	// Request is the end of a request, with all its attempts.
	Request Event = "request"
)

// Events of what an instance believes.
const (
	ServerSuspected Event = "server-suspected"
	ServerCleared   Event = "server-cleared"
	ServerChanged   Event = "server-changed"
	ServerGone      Event = "server-gone"
	ListRead        Event = "list-read"
	ConfigInForce   Event = "config-in-force"
	ConfigRefused   Event = "config-refused"
	StoreLost       Event = "store-lost"
	StoreRegained   Event = "store-regained"
	CopyMissed      Event = "copy-missed"
	PeerJoined      Event = "peer-joined"
	PlaceChanged    Event = "place-changed"
	WorkingChanged  Event = "working-set-changed"
	// MachineSlow says that the machine lags, or no longer does.
	MachineSlow Event = "machine-slow"
)

// Events of the process.
const (
	Started  Event = "started"
	Stopping Event = "stopping"
	Stopped  Event = "stopped"
	Reloaded Event = "reloaded"
	// Dropped says how many lines were not written since the line before.
	Dropped Event = "lines-dropped"
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
	// Version is that of the configuration, Revision that of the list.
	Version  uint64 `json:"version,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// ListAgeMS is how long ago the list was confirmed.
	ListAgeMS int64  `json:"list_age_ms,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	Code      string `json:"code,omitempty"`
	Status    int    `json:"status,omitempty"`
	TookMS    int64  `json:"took_ms,omitempty"`
	// LeftMS is the time that was left of the caller's deadline.
	LeftMS   int64     `json:"left_ms,omitempty"`
	Left     bool      `json:"caller_left,omitempty"`
	Attempts []Attempt `json:"attempts,omitempty"`

	Server string `json:"server,omitempty"`
	Peer   string `json:"peer,omitempty"`
	State  string `json:"state,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// Failing is the probability that the server fails its requests.
	Failing float64  `json:"failing,omitempty"`
	Count   int64    `json:"count,omitempty"`
	AgeMS   int64    `json:"age_ms,omitempty"`
	List    []string `json:"list,omitempty"`
}

// Attempt is one attempt of a request on a server.
type Attempt struct {
	Server string `json:"server"`
	// AtMS is when it began, from the arrival of the request.
	AtMS       int64 `json:"at_ms"`
	TookMS     int64 `json:"took_ms"`
	ExpectedMS int64 `json:"expected_ms"`
	// Failing is the probability that the server fails, and Busy the number of
	// its requests, as they were known when it was chosen.
	Failing float64 `json:"failing"`
	Busy    int     `json:"busy"`
	Result  string  `json:"result"`
	Status  int     `json:"status,omitempty"`
	Trial   bool    `json:"trial,omitempty"`
	Hedge   bool    `json:"hedge,omitempty"`
	Error   string  `json:"error,omitempty"`
}
