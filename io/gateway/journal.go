package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/workset"
	"galenaridge/io/decisionlog"
)

// journal writes decisions as log lines and counts them.
type journal struct {
	process *Process
	lines   *decisionlog.Writer
	series  *series
}

// RequestFinished implements dispatch.Journal.
func (j *journal) RequestFinished(r dispatch.RequestRecord) {
	j.series.served(r)
	if !unusual(r) && !j.lines.SampleRequest() || !j.lines.AllowRequestLine() {
		return
	}
	view := j.process.control.View()
	age := time.Duration(0)
	if at := view.ConfirmedAt(); !at.IsZero() {
		age = j.process.clock.Now().Sub(at)
	}
	line := decisionlog.Line{
		Event:           decisionlog.RequestFinished,
		ID:              string(r.ID),
		Route:           r.Route,
		Service:         string(r.Service),
		Idempotent:      r.Idempotent,
		ConfigVersion:   uint64(r.ConfigVersion),
		ListingRevision: uint64(view.Revision()),
		ListingAgeMS:    age.Milliseconds(),
		Outcome:         r.Response.Outcome.String(),
		Code:            string(r.Response.Code),
		Status:          r.Response.Status,
		DurationMS:      r.Duration.Milliseconds(),
		TimeLeftMS:      r.TimeLeft.Milliseconds(),
		CallerLeft:      r.CallerLeft,
		Server:          string(r.Response.Server),
	}
	for _, a := range r.Attempts {
		line.Attempts = append(line.Attempts, decisionlog.Attempt{
			Server:             string(a.Server),
			StartOffsetMS:      a.StartOffset.Milliseconds(),
			DurationMS:         a.Duration.Milliseconds(),
			ExpectedDurationMS: a.ExpectedDuration.Milliseconds(),
			FailureProbability: a.FailureProbability,
			ServerRequests:     a.ServerRequests,
			Result:             a.Result.String(),
			Status:             a.Status,
			Trial:              a.Trial,
			Hedge:              a.Hedge,
			Error:              a.Err,
		})
	}
	j.lines.Write(line)
}

// unusual reports whether a request is always written.
func unusual(r dispatch.RequestRecord) bool {
	return r.CallerLeft || r.Response.Refused() || r.Response.Status >= 500 || len(r.Attempts) > 1
}

// ServerSuspected implements balance.Events.
func (j *journal) ServerSuspected(info registry.Server, cause balance.Result, age time.Duration, failing float64) {
	j.lines.Write(decisionlog.Line{
		Event:              decisionlog.ServerSuspected,
		Service:            string(info.Service),
		Server:             string(info.ID),
		Cause:              cause.String(),
		AgeMS:              age.Milliseconds(),
		FailureProbability: failing,
	})
}

// ServerCleared implements balance.Events.
func (j *journal) ServerCleared(info registry.Server, after time.Duration) {
	j.lines.Write(decisionlog.Line{
		Event:   decisionlog.ServerCleared,
		Service: string(info.Service),
		Server:  string(info.ID),
		AgeMS:   after.Milliseconds(),
	})
}

// PeerJoined implements gateway.Events of core.
func (j *journal) PeerJoined(member fleet.Member) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.PeerJoined, Peer: member.String()})
}

// RoleChanged implements gateway.Events of core.
func (j *journal) RoleChanged(place workset.Role, live int) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.RoleChanged, State: place.String(), Count: int64(live)})
}

// WorkingSetChanged implements gateway.Events of core.
func (j *journal) WorkingSetChanged(active []fleet.Address) {
	list := make([]string, 0, len(active))
	for _, address := range active {
		list = append(list, string(address))
	}
	j.lines.Write(decisionlog.Line{Event: decisionlog.WorkingSetChanged, Addresses: list})
}

// ConfigAdopted implements gateway.Events of core.
func (j *journal) ConfigAdopted(version fleet.Version) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.ConfigAdopted, ConfigVersion: uint64(version)})
}

// ConfigRefused implements gateway.Events of core.
func (j *journal) ConfigRefused(version fleet.Version, reason error) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.ConfigRefused, ConfigVersion: uint64(version), Cause: reason.Error()})
}

// ListingApplied implements gateway.Events of core.
func (j *journal) ListingApplied(revision fleet.Revision, servers int, outage bool) {
	line := decisionlog.Line{Event: decisionlog.ListingApplied, ListingRevision: uint64(revision), Count: int64(servers)}
	if outage {
		line.Cause = "outage"
	}
	j.lines.Write(line)
}

// ServerChanged implements gateway.Events of core.
func (j *journal) ServerChanged(server registry.Server) {
	j.lines.Write(decisionlog.Line{
		Event:   decisionlog.ServerChanged,
		Service: string(server.Service),
		Server:  string(server.ID),
		State:   server.Presence.String(),
	})
}

// ServerRemoved implements gateway.Events of core.
func (j *journal) ServerRemoved(server fleet.ServerID, lapsed bool) {
	line := decisionlog.Line{Event: decisionlog.ServerRemoved, Server: string(server)}
	if lapsed {
		line.Cause = "missing after an outage"
	}
	j.lines.Write(line)
}

// StoreLost implements gateway.Events of core.
func (j *journal) StoreLost(err error) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.StoreLost, Cause: err.Error()})
}

// StoreRegained implements gateway.Events of core.
func (j *journal) StoreRegained(after time.Duration) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.StoreRegained, AgeMS: after.Milliseconds()})
}

// CopyFetchFailed implements gateway.Events of core.
func (j *journal) CopyFetchFailed(peer fleet.Address, err error) {
	j.lines.Write(decisionlog.Line{Event: decisionlog.CopyFetchFailed, Peer: string(peer), Cause: err.Error()})
}

// MachineSlowChanged implements gateway.Events of core.
func (j *journal) MachineSlowChanged(slow bool, lag time.Duration) {
	line := decisionlog.Line{Event: decisionlog.MachineSlowChanged, State: "begins", AgeMS: lag.Milliseconds()}
	if !slow {
		line.State = "ends"
	}
	j.lines.Write(line)
}

// Stopping implements gateway.Events of core.
func (j *journal) Stopping() { j.lines.Write(decisionlog.Line{Event: decisionlog.Stopping}) }
