package pattern

import (
	"math"
	"time"

	"galenaridge/core/fleet"
)

const (
	// spreadInterval is the time between two samples of the load of the servers.
	spreadInterval = 50 * time.Millisecond
	// connectionIdleTime is the time for which an unused connection to a server stays open.
	connectionIdleTime = 700 * time.Millisecond
	// freeShare is the share of free slots from which a queued or rejected request counts as
	// avoidable.
	freeShare = 1.0 / 3
)

// Spread describes how evenly the requests in progress are spread over the servers, and what
// the choice of servers costs in connections and in traffic between failure domains.
type Spread struct {
	// StdDev is the mean standard deviation of the requests in progress on a server, Largest
	// the mean of the largest number, relative to the mean over the servers. Both are taken
	// within each failure domain, over the servers that are not failing.
	StdDev  float64
	Largest float64
	// Queued and Rejected are the shares of arrivals that had to wait for a slot and that
	// were rejected while a third of the slots of the service was free.
	Queued   float64
	Rejected float64
	// Connects is the share of arrivals that needed a new connection, ConnectRate the number
	// of new connections of an instance in a second, Pairs the number of servers that an
	// instance uses in a second.
	Connects    float64
	ConnectRate float64
	Pairs       float64
	// Remote is the share of arrivals from an instance in another failure domain.
	Remote float64
	// Reports is the number of server reports that an instance sends in a second.
	Reports float64
}

// connectionKey identifies the connections of an instance to a server.
type connectionKey struct {
	instance int
	server   fleet.ServerID
}

// spreadMeter collects the samples of a Spread.
type spreadMeter struct {
	from        time.Duration
	samples     int
	stdDev      float64
	largest     float64
	arrivals    int
	queued      int
	rejected    int
	connects    int
	remote      int
	reports     int
	pairs       map[connectionKey]bool
	pairsBegin  time.Duration
	pairSeconds int
	pairCount   int
	// idle holds the times since which the open connections are idle.
	idle map[connectionKey][]time.Duration
}

func newSpreadMeter(from time.Duration) *spreadMeter {
	return &spreadMeter{from: from, pairs: make(map[connectionKey]bool), idle: make(map[connectionKey][]time.Duration)}
}

// spread returns the result of the samples, for a number of instances.
func (m *spreadMeter) spread(until time.Duration, instances int) Spread {
	arrivals := float64(max(m.arrivals, 1))
	perInstance := float64(instances) * (until - m.from).Seconds()
	return Spread{
		StdDev:      m.stdDev / float64(max(m.samples, 1)),
		Largest:     m.largest / float64(max(m.samples, 1)),
		Queued:      float64(m.queued) / arrivals,
		Rejected:    float64(m.rejected) / arrivals,
		Connects:    float64(m.connects) / arrivals,
		ConnectRate: float64(m.connects) / perInstance,
		Pairs:       float64(m.pairCount) / float64(max(m.pairSeconds*instances, 1)),
		Remote:      float64(m.remote) / arrivals,
		Reports:     float64(m.reports) / perInstance,
	}
}

// sampleSpread takes a sample and schedules the next one.
func (y *player) sampleSpread() {
	if y.now >= y.pattern.Duration {
		return
	}
	y.after(spreadInterval, y.sampleSpread)
	m := y.spread
	if y.now < m.from {
		return
	}
	if y.now-m.pairsBegin >= time.Second {
		m.pairCount += len(m.pairs)
		m.pairSeconds++
		m.pairsBegin = y.now
		clear(m.pairs)
	}
	for d := range y.pattern.Domains {
		var counts []float64
		for _, s := range y.servers {
			if s.info.Domain == domainName(d) && !s.noiseAt(y.now) {
				counts = append(counts, float64(s.running+len(s.waiting)))
			}
		}
		stdDev, largest, mean := describe(counts)
		if mean > 0 {
			m.samples++
			m.stdDev += stdDev
			m.largest += largest / mean
		}
	}
}

// describe returns the standard deviation, the largest and the mean of some values.
func describe(values []float64) (stdDev, largest, mean float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	for _, v := range values {
		mean += v / float64(len(values))
		largest = max(largest, v)
	}
	for _, v := range values {
		stdDev += (v - mean) * (v - mean) / float64(len(values))
	}
	return math.Sqrt(stdDev), largest, mean
}

// recordArrival counts the arrival of an attempt at its server.
func (y *player) recordArrival(a *attempt) {
	m := y.spread
	key := connectionKey{instance: a.from.index, server: a.server.info.ID}
	open := m.idle[key]
	for len(open) > 0 && y.now-open[0] > connectionIdleTime {
		open = open[1:]
	}
	reused := len(open) > 0
	if reused {
		open = open[:len(open)-1]
	}
	m.idle[key] = open
	if y.now < m.from {
		return
	}
	m.arrivals++
	m.pairs[key] = true
	if !reused {
		m.connects++
	}
	if a.server.info.Domain != domainName(a.from.domain) {
		m.remote++
	}
	slots := int(y.pattern.Slots)
	if a.server.running < slots || y.freeSlots() < freeShare {
		return
	}
	if len(a.server.waiting) >= y.pattern.Queue {
		m.rejected++
	} else {
		m.queued++
	}
}

// freeSlots returns the share of free slots on the servers that are not failing.
func (y *player) freeSlots() float64 {
	free, slots := 0, 0
	for _, s := range y.servers {
		if s.noiseAt(y.now) {
			continue
		}
		slots += int(y.pattern.Slots)
		free += max(int(y.pattern.Slots)-s.running, 0)
	}
	return float64(free) / float64(max(slots, 1))
}

// recordIdle keeps the connection of an attempt that got a response.
func (y *player) recordIdle(a *attempt) {
	key := connectionKey{instance: a.from.index, server: a.server.info.ID}
	y.spread.idle[key] = append(y.spread.idle[key], y.now)
}
