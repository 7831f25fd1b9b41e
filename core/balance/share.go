package balance

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// ServerKey stands for an incarnation of a server in what instances tell each other.
type ServerKey uint32

// KeyOf returns the key of an incarnation.
func KeyOf(i registry.Incarnation) ServerKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.ID))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, int64(i.StartedAt), 36))
	return ServerKey(h.Sum32())
}

// ServerReport is what an instance tells others about a server.
type ServerReport struct {
	Key ServerKey
	// Domain is the failure domain of the server. It is not told: receivers know it.
	Domain fleet.Domain
	// Outstanding counts its requests without an answer.
	Outstanding int
	// FailureProbability is the probability that the server fails.
	FailureProbability float64
	// EvidenceAge is that of the evidence.
	EvidenceAge time.Duration
}

// remote is what another instance told about a server.
type remote struct {
	outstanding int
	belief      belief
	heardAt     time.Time
}

const (
	// shareLife is how long what another instance told counts. All is told again
	// within it.
	shareLife = 1500 * time.Millisecond
	// refreshEvery is the interval of telling what has not changed.
	refreshEvery = time.Second
	// tellChange is the least change of a belief that is told at once.
	tellChange = 0.05
	// remoteTrust is the weight of the belief of another instance that has later
	// evidence. Its path to the server may be cut where the own one is not.
	remoteTrust = 0.8
)

// CollectReports returns what has changed since it was told, and everything in intervals.
// Servers that this instance does not use are left out.
func (p *Pool) CollectReports(now time.Time) []ServerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := now.Sub(p.toldAt) >= refreshEvery
	if full {
		p.toldAt = now
	}
	var shares []ServerReport
	for _, s := range p.list {
		if s.triedAt.IsZero() {
			continue
		}
		failing, at := s.ownEvidence(now)
		changed := len(s.leases) != s.told.Outstanding || math.Abs(failing-s.told.FailureProbability) > tellChange
		idle := len(s.leases) == 0 && s.told.Outstanding == 0 && now.Sub(at) > shareLife
		if idle || !full && !changed {
			continue
		}
		s.told = ServerReport{Key: s.key, Domain: s.info.Domain, Outstanding: len(s.leases), FailureProbability: failing, EvidenceAge: now.Sub(at)}
		shares = append(shares, s.told)
	}
	return shares
}

// ApplyReports takes what another instance told.
func (p *Pool) ApplyReports(now time.Time, from fleet.InstanceID, shares []ServerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, share := range shares {
		s, known := p.keys[share.Key]
		if !known {
			continue
		}
		s.remotes[from] = remote{
			outstanding: share.Outstanding,
			belief:      belief{failing: share.FailureProbability, at: now.Add(-share.EvidenceAge)},
			heardAt:     now,
		}
	}
}

// ownEvidence returns the probability that the server fails by what this
// instance saw, and when it saw it. A request that is outstanding for longer
// than usual is evidence of now.
func (s *server) ownEvidence(now time.Time) (float64, time.Time) {
	finished := s.belief.now(now)
	failing := s.withOutstanding(now, finished)
	if failing-finished > tellChange {
		return failing, now
	}
	return s.belief.failing, s.belief.at
}

// withOutstanding returns the probability with what outstanding requests tell.
func (s *server) withOutstanding(now time.Time, failing float64) float64 {
	for _, l := range s.leases {
		age := float64(now.Sub(l.started)-l.waited) / float64(l.ExpectedDuration)
		failing = scale(failing, outstanding(age))
	}
	return failing
}

// elsewhere returns the requests of other instances on the server.
func (s *server) elsewhere(now time.Time) int {
	total := 0
	for _, r := range s.remotes {
		if now.Sub(r.heardAt) <= shareLife {
			total += r.outstanding
		}
	}
	return total
}

// joint returns the probability that the server fails by what finished here and
// by what others told, where the latest evidence counts.
func (s *server) joint(now time.Time) float64 {
	own := s.belief.now(now)
	latest := s.belief.at
	failing := own
	for _, r := range s.remotes {
		if now.Sub(r.heardAt) > shareLife || !r.belief.at.After(latest) {
			continue
		}
		latest = r.belief.at
		failing = own + remoteTrust*(r.belief.now(now)-own)
	}
	return failing
}
