package gateway

import (
	"math"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/workset"
	"galenaridge/io/decisionlog"
)

// decisionJournal writes the events of core to the decision log and updates the
// metrics of requests.
type decisionJournal struct {
	process        *Process
	writer         *decisionlog.Writer
	requestMetrics *requestMetrics
	fetchMetrics   *fetchMetrics
	customers      *customerMetrics
}

// RequestFinished implements dispatch.Journal.
func (j *decisionJournal) RequestFinished(record dispatch.RequestRecord) {
	j.requestMetrics.record(record)
	j.customers.record(j.process.clock.Now(), record)
	if !alwaysLogged(record) && !j.writer.SampleRequest() || !j.writer.AllowRequestLine() {
		return
	}
	view := j.process.control.View()
	listingAge := time.Duration(0)
	if confirmedAt := view.ConfirmedAt(); !confirmedAt.IsZero() {
		listingAge = j.process.clock.Now().Sub(confirmedAt)
	}
	line := decisionlog.Line{
		Event:           decisionlog.RequestFinished,
		ID:              string(record.ID),
		Route:           record.Route,
		Service:         string(record.Service),
		Idempotent:      record.Idempotent,
		ConfigVersion:   uint64(record.ConfigVersion),
		ListingEra:      uint64(view.Position().Era),
		ListingRevision: uint64(view.Position().Revision),
		ListingAgeMS:    listingAge.Milliseconds(),
		Outcome:         record.Response.Outcome.String(),
		Code:            string(record.Response.Code),
		Status:          record.Response.Status,
		DurationMS:      record.Duration.Milliseconds(),
		TimeLeftMS:      record.TimeLeft.Milliseconds(),
		CallerLeft:      record.CallerLeft,
		Priority:        int(record.Priority),
		RetryAfterMS:    record.Response.RetryAfter.Milliseconds(),
		Server:          string(record.Response.Server),
		Customer:        string(record.Customer),
	}
	if record.Response.Refused() && len(record.Attempts) == 0 {
		line.Cause = record.Response.Message
	}
	if record.Response.Code == exchange.FairShare {
		line.UsedSlots, line.FairShareSlots = record.Standing.Admitted, record.Standing.FairShare
	}
	if q := record.Quota; q != nil {
		line.Quota = &decisionlog.Quota{
			Reason: q.Reason.String(),
			Own:    q.Own,
			Known:  math.Round(q.Known),
			Limit:  q.Limit,
			Share:  math.Round(q.Share),
		}
	}
	for _, a := range record.Attempts {
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
			Coverage:           a.Coverage,
			Hedge:              a.Hedge,
			Error:              a.Err,
		})
	}
	j.writer.Write(line)
}

// alwaysLogged reports whether a request is logged without sampling: one that was
// refused, failed, was attempted more than once or was abandoned by its caller.
func alwaysLogged(record dispatch.RequestRecord) bool {
	return record.CallerLeft || record.Response.Refused() || record.Response.Status >= 500 || len(record.Attempts) > 1
}

// ServerSuspected implements balance.Events.
func (j *decisionJournal) ServerSuspected(server registry.Server, cause balance.Result, duration time.Duration, failureProbability float64) {
	j.writer.Write(decisionlog.Line{
		Event:              decisionlog.ServerSuspected,
		Service:            string(server.Service),
		Server:             string(server.ID),
		Cause:              cause.String(),
		AgeMS:              duration.Milliseconds(),
		FailureProbability: failureProbability,
	})
}

// ServerCleared implements balance.Events.
func (j *decisionJournal) ServerCleared(server registry.Server, suspectedFor time.Duration) {
	j.writer.Write(decisionlog.Line{
		Event:   decisionlog.ServerCleared,
		Service: string(server.Service),
		Server:  string(server.ID),
		AgeMS:   suspectedFor.Milliseconds(),
	})
}

// ServerAnnouncedLeaving implements balance.Events.
func (j *decisionJournal) ServerAnnouncedLeaving(server registry.Server) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.ServerAnnounced, Service: string(server.Service), Server: string(server.ID), State: "leaving"})
}

// ServerPaused implements balance.Events.
func (j *decisionJournal) ServerPaused(server registry.Server, pause time.Duration) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.ServerAnnounced, Service: string(server.Service), Server: string(server.ID), State: "paused", DurationMS: pause.Milliseconds()})
}

// PeerJoined implements gateway.Events of core.
func (j *decisionJournal) PeerJoined(member fleet.Member) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.PeerJoined, Peer: member.String()})
}

// RoleChanged implements gateway.Events of core.
func (j *decisionJournal) RoleChanged(role workset.Role, livePeers int) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.RoleChanged, State: role.String(), Count: int64(livePeers)})
}

// WorkingSetChanged implements gateway.Events of core.
func (j *decisionJournal) WorkingSetChanged(active []fleet.Address) {
	addresses := make([]string, 0, len(active))
	for _, address := range active {
		addresses = append(addresses, string(address))
	}
	j.writer.Write(decisionlog.Line{Event: decisionlog.WorkingSetChanged, Addresses: addresses})
}

// ConfigAdopted implements gateway.Events of core.
func (j *decisionJournal) ConfigAdopted(version fleet.Version) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.ConfigAdopted, ConfigVersion: uint64(version)})
}

// ConfigRefused implements gateway.Events of core.
func (j *decisionJournal) ConfigRefused(version fleet.Version, reason error) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.ConfigRefused, ConfigVersion: uint64(version), Cause: reason.Error()})
}

// ListingApplied implements gateway.Events of core.
func (j *decisionJournal) ListingApplied(position fleet.Position, servers int, outage bool) {
	line := decisionlog.Line{
		Event:           decisionlog.ListingApplied,
		ListingEra:      uint64(position.Era),
		ListingRevision: uint64(position.Revision),
		Count:           int64(servers),
	}
	if outage {
		line.Cause = "outage"
	}
	j.writer.Write(line)
}

// ServerChanged implements gateway.Events of core.
func (j *decisionJournal) ServerChanged(server registry.Server) {
	j.writer.Write(decisionlog.Line{
		Event:   decisionlog.ServerChanged,
		Service: string(server.Service),
		Server:  string(server.ID),
		State:   server.Presence.String(),
	})
}

// ServerRemoved implements gateway.Events of core.
func (j *decisionJournal) ServerRemoved(server fleet.ServerID, lapsed bool) {
	line := decisionlog.Line{Event: decisionlog.ServerRemoved, Server: string(server)}
	if lapsed {
		line.Cause = "missing after an outage"
	}
	j.writer.Write(line)
}

// StoreLost implements gateway.Events of core.
func (j *decisionJournal) StoreLost(err error) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.StoreLost, Cause: err.Error()})
}

// StoreRegained implements gateway.Events of core.
func (j *decisionJournal) StoreRegained(unavailableFor time.Duration) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.StoreRegained, AgeMS: unavailableFor.Milliseconds()})
}

// ReadingChanged implements gateway.Events of core.
func (j *decisionJournal) ReadingChanged(mode follow.Mode, copyAge time.Duration) {
	j.writer.Write(decisionlog.Line{Event: decisionlog.ReadingChanged, State: mode.String(), AgeMS: copyAge.Milliseconds()})
}

// CopyFetched implements gateway.Events of core.
func (j *decisionJournal) CopyFetched(report follow.FetchReport) {
	j.fetchMetrics.record(report)
	line := decisionlog.Line{
		Event:           decisionlog.CopyFetched,
		State:           report.Kind.String(),
		Peer:            string(report.Peer),
		KnownEra:        uint64(report.Known.Era),
		KnownGeneration: report.Known.Number,
		DurationMS:      report.Duration.Milliseconds(),
		ReceivedBytes:   report.ReceivedBytes,
	}
	if report.Kind == follow.Configuration {
		line.ConfigVersion = report.Fetched.Number
	} else {
		line.ListingEra, line.ListingRevision = uint64(report.Fetched.Era), report.Fetched.Number
	}
	if report.Err != nil {
		line.Event, line.Cause = decisionlog.CopyFetchFailed, report.Err.Error()
	}
	j.writer.Write(line)
}

// MachineSlowChanged implements gateway.Events of core.
func (j *decisionJournal) MachineSlowChanged(slow bool, lag time.Duration) {
	line := decisionlog.Line{Event: decisionlog.MachineSlowChanged, State: "begins", AgeMS: lag.Milliseconds()}
	if !slow {
		line.State = "ends"
	}
	j.writer.Write(line)
}

// ServersUnused implements gateway.Events of core.
func (j *decisionJournal) ServersUnused(service fleet.ServiceName, counts balance.Counts) {
	j.writer.Write(decisionlog.Line{
		Event:          decisionlog.ServersUnused,
		Service:        string(service),
		Count:          int64(counts.Unused),
		CutCount:       int64(counts.UnusedCut),
		SuspectedCount: int64(counts.UnusedSuspected),
	})
}

// Stopping implements gateway.Events of core.
func (j *decisionJournal) Stopping() { j.writer.Write(decisionlog.Line{Event: decisionlog.Stopping}) }
