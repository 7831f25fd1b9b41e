package pattern

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/registry"
)

const (
	// soundAfterNoise and soundAfterFault are the times after noise and after a fault
	// until a server counts as sound.
	soundAfterNoise = 2 * time.Second
	soundAfterFault = 6 * time.Second
	// workSpread is the spread of the log-normal distribution of the work. One request in
	// tailEvery takes tailFactor as long.
	workSpread = 0.3
	tailEvery  = 100
	tailFactor = 5
)

// span is a time in which a server is disturbed.
type span struct {
	from, to time.Duration
	fault    Fault
	// cutFrom holds the instances that cannot reach the server, for Cut.
	cutFrom map[int]bool
}

func (s span) contains(at time.Duration) bool { return at >= s.from && at < s.to }

// server is a server of the pattern.
type server struct {
	info    registry.Server
	noise   []span
	faults  []span
	running int
	waiting []*run
}

// run is one attempt on a server.
type run struct {
	attempt  *attempt
	deadline time.Duration
}

func overlaps(spans []span, from, to, margin time.Duration) bool {
	for _, s := range spans {
		if s.from < to && s.to+margin > from {
			return true
		}
	}
	return false
}

func (s *server) soundDuring(from, to time.Duration) bool {
	if join, joins := s.joining(); joins && from < join.from {
		return false
	}
	return !overlaps(s.noise, from, to, soundAfterNoise) && !overlaps(s.ownFaults(), from, to, soundAfterFault)
}

// ownFaults returns the faults that are not faults of a path.
func (s *server) ownFaults() []span {
	return slices.DeleteFunc(slices.Clone(s.faults), func(f span) bool { return f.fault.ofPath() })
}

// active returns the fault of a kind at a time.
func (s *server) active(kind FaultKind, at time.Duration) (span, bool) {
	for _, f := range s.faults {
		if f.fault.Kind == kind && f.contains(at) {
			return f, true
		}
	}
	return span{}, false
}

// joining returns the time in which instances list the server, if it was not there from the
// start.
func (s *server) joining() (span, bool) {
	for _, f := range s.faults {
		if f.fault.Kind == Join {
			return f, true
		}
	}
	return span{}, false
}

// noiseAt reports whether the server is failing without an announced fault.
func (s *server) noiseAt(at time.Duration) bool {
	return slices.ContainsFunc(s.noise, func(n span) bool { return n.contains(at) })
}

// hangShare returns the share of the requests of an instance that get no response at a time.
func (s *server) hangShare(at time.Duration, from int, p *Pattern) float64 {
	share := 0.0
	if p.Noise.Hangs && s.noiseAt(at) {
		share = p.Noise.Fails
	}
	if f, ok := s.active(Stall, at); ok && (len(f.fault.From) == 0 || slices.Contains(f.fault.From, from)) {
		share = max(share, f.fault.Strength)
	}
	return share
}

// failShare returns the share of requests that fail at a time.
func (s *server) failShare(at time.Duration, p *Pattern) float64 {
	share := p.ErrorShare
	if !p.Noise.Hangs && s.noiseAt(at) {
		share = max(share, p.Noise.Fails)
	}
	if f, ok := s.active(Errors, at); ok {
		share = max(share, f.fault.Strength)
	}
	return share
}

// workTime returns the time that the server needs for a request.
func (s *server) workTime(at, work time.Duration, random *rand.Rand) time.Duration {
	factor := math.Exp(workSpread*random.NormFloat64() - workSpread*workSpread/2)
	if random.IntN(tailEvery) == 0 {
		factor *= tailFactor
	}
	if f, ok := s.active(Slow, at); ok {
		factor *= f.fault.Strength
	}
	return time.Duration(factor * float64(work))
}

// addNoise makes the server sound and failing by turns.
func (s *server) addNoise(p *Pattern, random *rand.Rand) {
	if p.Noise.Share <= 0 {
		return
	}
	soundLength := float64(p.Noise.Length) * (1 - p.Noise.Share) / p.Noise.Share
	failing := random.Float64() < p.Noise.Share
	for at := time.Duration(0); at < p.Duration; failing = !failing {
		mean := soundLength
		if failing {
			mean = float64(p.Noise.Length)
		}
		length := time.Duration(mean * random.ExpFloat64())
		if failing {
			s.noise = append(s.noise, span{from: at, to: at + length})
		}
		at += length
	}
}
