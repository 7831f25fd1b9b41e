package once

import (
	"container/heap"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount reduces lock contention between traffic goroutines on different
// cores.
const shardCount = 64

// table is the sharded map of records.
type table struct {
	// start is the time from which the home's elapsed time is measured.
	start  time.Time
	shards [shardCount]shard
	usage  usage
	// sweepCursor, modulo shardCount, is the shard that was swept last.
	sweepCursor atomic.Uint32
}

// usage is the size of the records in all shards.
type usage struct {
	records atomic.Int64
	// bodies and headers are the bytes of stored responses.
	bodies  atomic.Int64
	headers atomic.Int64
}

// memory returns the bytes of stored responses.
func (u *usage) memory() int64 { return u.bodies.Load() + u.headers.Load() }

// shard is a part of the table with its own mutex.
type shard struct {
	mu sync.Mutex
	// latestElapsed is the latest elapsed time used by any goroutine in this
	// shard. Expiry is checked against it: a goroutine with an older time could
	// otherwise accept a token whose records were already dropped, and start a
	// request twice.
	latestElapsed time.Duration
	ended         bool
	records       map[recordID]*record
	expiries      expiryHeap
	usage         *usage
}

func newTable(start time.Time) *table {
	t := &table{start: start}
	for i := range t.shards {
		t.shards[i].records = make(map[recordID]*record)
		t.shards[i].usage = &t.usage
	}
	return t
}

func (t *table) shard(id recordID) *shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id.token))
	_, _ = h.Write([]byte(id.key))
	return &t.shards[h.Sum32()%shardCount]
}

// elapsed converts a time to the home's elapsed time.
func (t *table) elapsed(now time.Time) time.Duration { return now.Sub(t.start) }

// sweep drops at most limit expired records and returns how many it dropped. It
// starts with the shard after the last one of the previous sweep.
func (t *table) sweep(now time.Time, limit int) int {
	dropped := 0
	for range shardCount {
		s := &t.shards[t.sweepCursor.Add(1)%shardCount]
		s.mu.Lock()
		s.advanceClock(t.elapsed(now))
		dropped += s.dropExpired(limit - dropped)
		s.mu.Unlock()
		if dropped >= limit {
			break
		}
	}
	return dropped
}

// advanceClock sets the shard's latest elapsed time, unless elapsed is earlier.
func (s *shard) advanceClock(elapsed time.Duration) { s.latestElapsed = max(s.latestElapsed, elapsed) }

// insert adds a record whose id must not be in the shard yet.
func (s *shard) insert(r *record) {
	s.records[r.id] = r
	heap.Push(&s.expiries, r)
	s.usage.records.Add(1)
}

// dropExpired takes at most limit expired records from the expiry heap, removes
// the records that are not running, and returns the number of records taken.
// Running records stay until they finish, because duplicates still wait for
// them.
func (s *shard) dropExpired(limit int) int {
	dropped := 0
	for dropped < limit && len(s.expiries) > 0 && s.expiries[0].expiry <= s.latestElapsed {
		r := heap.Pop(&s.expiries).(*record)
		if r.running {
			r.expiredWhileRunning = true
		} else {
			s.remove(r)
		}
		dropped++
	}
	return dropped
}

func (s *shard) remove(r *record) {
	delete(s.records, r.id)
	s.usage.records.Add(-1)
	s.usage.bodies.Add(-int64(len(r.response.Body)))
	s.usage.headers.Add(-headerSize(r.response.Headers))
}

// expiryHeap is a min-heap of records by expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*h = old[:last]
	return r
}
