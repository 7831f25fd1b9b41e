package operator

import "galenaridge/core/fleet"

// Placement is where a request would go now, and why, as operators receive it. Fields whose
// names end in MS are in milliseconds. Costs are fractions of the failure of a request.
type Placement struct {
	ConfigVersion fleet.Version `json:"config_version"`
	Route         *PlacedRoute  `json:"route,omitempty"`
	// Service is the service that is next in the split of the route.
	Service fleet.ServiceName `json:"service,omitempty"`
	Refusal *Refusal          `json:"refusal,omitempty"`
	// Server is the server that would get the request, Reason how it was chosen.
	Server             fleet.ServerID     `json:"server,omitempty"`
	Reason             string             `json:"reason,omitempty"`
	ExpectedDurationMS int64              `json:"expected_ms,omitempty"`
	Candidates         []PlacedCandidate  `json:"candidates,omitempty"`
	Excluded           []ExcludedFromPick `json:"excluded,omitempty"`
}

// PlacedRoute is the route of a request.
type PlacedRoute struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	Prefix     string  `json:"prefix"`
	Idempotent bool    `json:"idempotent"`
	Priority   int     `json:"priority"`
	Split      []Share `json:"split"`
}

// Share is a service of a split with its weight.
type Share struct {
	Service fleet.ServiceName `json:"service"`
	Weight  int               `json:"weight"`
}

// Refusal is the response to a request that would not be sent to a server.
type Refusal struct {
	Status       int    `json:"status"`
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// PlacedCandidate is a server that can be chosen.
type PlacedCandidate struct {
	Server fleet.ServerID `json:"server"`
	Domain fleet.Domain   `json:"domain"`
	Cost   float64        `json:"cost"`
	Parts  CostParts      `json:"parts"`
	// Requests is the known number of requests on the server, of Slots that it handles at a
	// time. ReportAgeMS is the age of the last report of them, or nil if there is none.
	Requests           int         `json:"requests"`
	Slots              fleet.Slots `json:"slots"`
	ReportAgeMS        *int64      `json:"report_age_ms,omitempty"`
	WaitMS             int64       `json:"wait_ms"`
	FailureProbability float64     `json:"failure_probability"`
}

// CostParts are the parts of the cost of a server.
type CostParts struct {
	Load      float64 `json:"load"`
	Affinity  float64 `json:"affinity"`
	Remote    float64 `json:"remote"`
	Cut       float64 `json:"cut"`
	Warm      float64 `json:"warm"`
	Failure   float64 `json:"failure"`
	Freshness float64 `json:"freshness"`
}

// ExcludedFromPick is a server that cannot be chosen.
type ExcludedFromPick struct {
	Server fleet.ServerID `json:"server"`
	Reason string         `json:"reason"`
}
