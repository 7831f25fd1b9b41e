package balance

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// ServerKey is a hash that identifies an incarnation of a server in reports between
// instances.
type ServerKey uint32

// KeyOf returns the key of an incarnation: the FNV-1a hash of its id and start time.
func KeyOf(i registry.Incarnation) ServerKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.ID))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, int64(i.StartedAt), 36))
	return ServerKey(h.Sum32())
}

// ServerReport is the state of one server as reported from one instance to the others.
type ServerReport struct {
	Key ServerKey
	// Domain is the failure domain of the server. It is not sent, since receivers have
	// it in their server list.
	Domain fleet.Domain
	// Outstanding is the number of requests that the sender has outstanding on the
	// server.
	Outstanding int
	// FailureProbability is the sender's estimate that the server is failing.
	FailureProbability float64
	// EvidenceAge is the age of the latest evidence for that estimate.
	EvidenceAge time.Duration
	// RequestAge is the time since the last request of the sender to the server. A server
	// with an outstanding request need not be in use: it may never respond.
	RequestAge time.Duration
	// Withheld is set if the sender belongs to the failure domain of the server and does not
	// keep it in use, since it cannot reach the server, or suspects it and needs help to
	// keep the floor.
	Withheld bool
	// Shared is set if instances of all failure domains need the report, because some of
	// them keep the server in use. It is not sent.
	Shared bool
}

// remoteReport is the last report of another instance about a server.
type remoteReport struct {
	outstanding   int
	estimate      failureEstimate
	lastRequestAt time.Time
	withheld      bool
	receivedAt    time.Time
}

const (
	// remoteReportTTL is the time for which a received report is used. All servers are
	// reported again within it.
	remoteReportTTL = 1500 * time.Millisecond
	// fullReportInterval is the time between two reports of all servers in use.
	fullReportInterval = time.Second
	// minReportedChange is the least change of a failure probability that is reported
	// before the next full report.
	minReportedChange = 0.05
	// minReportedUse is the least time between two requests to a server of which the later
	// one is reported before the next full report.
	minReportedUse = 500 * time.Millisecond
	// remoteWeight is the weight of another instance's estimate if its evidence is
	// more recent. It is below 1 because that instance may be cut off from the server
	// while this one is not.
	remoteWeight = 0.8
)

// CollectReports returns the reports to send: servers that changed since their last
// report or, once per fullReportInterval, all servers. Servers that this instance does
// not use are omitted. The reports count as sent.
func (p *Pool) CollectReports(now time.Time) []ServerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := now.Sub(p.fullReportAt) >= fullReportInterval
	if full {
		p.fullReportAt = now
	}
	p.updateNeedForHelp(now)
	p.updateStrain(now)
	var reports []ServerReport
	for _, s := range p.live {
		if s.lastAttemptAt.IsZero() {
			continue
		}
		withheld := s.local && p.withholds(now, s)
		probability, at := s.ownEvidence(now, s.local && !withheld)
		if withheld && s.consecutiveCuts > 0 {
			// What this instance sees tells about its path, not about the server.
			probability, at = baselineProbability, time.Time{}
		}
		changed := len(s.attempts) != s.sentReport.Outstanding || math.Abs(probability-s.sentReport.FailureProbability) > minReportedChange || withheld != s.sentReport.Withheld || s.lastUseAt.Sub(s.sentRequestAt) >= minReportedUse
		idle := len(s.attempts) == 0 && s.sentReport.Outstanding == 0 && now.Sub(at) > remoteReportTTL && !withheld && !s.sentReport.Withheld
		if idle || !full && !changed {
			continue
		}
		s.sentRequestAt = s.lastUseAt
		s.sentReport = ServerReport{
			Key:                s.key,
			Domain:             s.info.Domain,
			Outstanding:        len(s.attempts),
			FailureProbability: probability,
			EvidenceAge:        now.Sub(at),
			RequestAge:         now.Sub(s.lastUseAt),
			Withheld:           withheld,
			Shared:             withheld || s.remote(now).withheld,
		}
		reports = append(reports, s.sentReport)
	}
	return reports
}

// ApplyReports stores the reports of another instance. Unknown servers are ignored.
func (p *Pool) ApplyReports(now time.Time, from fleet.InstanceID, reports []ServerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range reports {
		s, known := p.byKey[report.Key]
		if !known {
			continue
		}
		s.remoteReports[from] = remoteReport{
			outstanding:   report.Outstanding,
			estimate:      failureEstimate{probability: report.FailureProbability, updatedAt: now.Add(-report.EvidenceAge)},
			lastRequestAt: now.Add(-report.RequestAge),
			withheld:      report.Withheld,
			receivedAt:    now,
		}
		s.summaryKnown = false
	}
}

// ownEvidence returns this instance's failure probability for the server and the time
// of its latest evidence. An overdue outstanding attempt is evidence as of now if the paths of
// this instance to the server are trusted. Otherwise it is evidence as of its start, like a
// success: an instance that gets no responses would else outweigh all others that use the
// server, for as long as its attempts are outstanding.
func (s *server) ownEvidence(now time.Time, trustsPaths bool) (float64, time.Time) {
	finished := s.ownEstimate.probabilityAt(now)
	probability := s.withOutstandingAttempts(now, finished)
	switch {
	case probability-finished <= minReportedChange:
		return s.ownEstimate.probability, s.ownEstimate.updatedAt
	case trustsPaths:
		return probability, now
	default:
		return probability, later(s.ownEstimate.updatedAt, s.latestOverdueStart(now))
	}
}

// latestOverdueStart returns when the latest of the outstanding attempts that take longer than
// expected started, zero if there is none.
func (s *server) latestOverdueStart(now time.Time) time.Time {
	var latest time.Time
	for _, a := range s.attempts {
		if now.Sub(a.startedAt)-a.expectedWait > a.ExpectedDuration {
			latest = later(latest, a.startedAt)
		}
	}
	return latest
}

// withOutstandingAttempts returns the probability after applying the evidence of
// outstanding attempts.
func (s *server) withOutstandingAttempts(now time.Time, probability float64) float64 {
	for _, a := range s.attempts {
		age := float64(now.Sub(a.startedAt)-a.expectedWait) / float64(a.ExpectedDuration)
		probability = applyLikelihood(probability, outstandingLikelihood(age))
	}
	return probability
}

// remoteSummary is what the reports of other instances say about a server together.
type remoteSummary struct {
	// outstanding is the number of their outstanding requests.
	outstanding int
	// latest is their estimate with the most recent evidence; zero if there is none.
	latest failureEstimate
	// lastRequestAt is when the server had the last of their requests, as far as known.
	lastRequestAt time.Time
	// failedAt is the time of their latest evidence that the server fails.
	failedAt time.Time
	// withheld is set if an instance of the failure domain of the server withholds requests.
	withheld bool
	// validUntil is when the first of the reports expires.
	validUntil time.Time
}

// remote returns the summary of the reports of other instances. It is computed anew only
// after a report has arrived or expired, since a choice reads it for each server.
func (s *server) remote(now time.Time) *remoteSummary {
	if s.summaryKnown && !now.After(s.summary.validUntil) {
		return &s.summary
	}
	summary := remoteSummary{validUntil: now.Add(remoteReportTTL)}
	for id, r := range s.remoteReports {
		expiresAt := r.receivedAt.Add(remoteReportTTL)
		if now.After(expiresAt) {
			// The instance may be gone, so nothing else would remove its report.
			delete(s.remoteReports, id)
			continue
		}
		summary.validUntil = fleet.Earlier(summary.validUntil, expiresAt)
		summary.outstanding += r.outstanding
		summary.withheld = summary.withheld || r.withheld
		if r.estimate.updatedAt.After(summary.latest.updatedAt) {
			summary.latest = r.estimate
		}
		if r.estimate.probability >= suspectThreshold {
			summary.failedAt = later(summary.failedAt, r.estimate.updatedAt)
		}
		summary.lastRequestAt = later(summary.lastRequestAt, r.lastRequestAt)
	}
	s.summary, s.summaryKnown = summary, true
	return &s.summary
}

// finishedProbability returns the probability that the server is failing from this
// instance's finished attempts and the reports of others. The most recent evidence
// prevails.
func (s *server) finishedProbability(now time.Time) float64 {
	ownProbability := s.ownEstimate.probabilityAt(now)
	latest := s.remote(now).latest
	if !latest.updatedAt.After(s.ownEstimate.updatedAt) {
		return ownProbability
	}
	return ownProbability + remoteWeight*(latest.probabilityAt(now)-ownProbability)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
