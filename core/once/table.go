package once

import (
	"container/heap"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount keeps traffic goroutines on different cores from waiting for
// the same mutex.
const shardCount = 64

// table is the sharded map of records.
type table struct {
	// start is the zero of the home's elapsed time.
	start  time.Time
	shards [shardCount]shard
	usage  usage
	// cursor is the shard that the next sweep starts with.
	cursor atomic.Uint32
}

// usage counts what the records hold, over all shards.
type usage struct {
	records atomic.Int64
	// bodies and headers are bytes of stored responses.
	bodies  atomic.Int64
	headers atomic.Int64
}

// memory counts the bytes of stored responses.
func (u *usage) memory() int64 { return u.bodies.Load() + u.headers.Load() }

// shard is a part of the table under one mutex.
type shard struct {
	mu sync.Mutex
	// clock is the latest elapsed time seen here. A goroutine that read the
	// time earlier must not take a token for valid whose records another one
	// has dropped already, because it would start a request twice.
	clock    time.Duration
	ended    bool
	records  map[recordID]*record
	expiries expiryHeap
	usage    *usage
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

// sweep drops at most limit expired records, beginning with the shard after
// the one that the previous sweep ended with, and returns how many.
func (t *table) sweep(now time.Time, limit int) int {
	dropped := 0
	for range shardCount {
		s := &t.shards[t.cursor.Add(1)%shardCount]
		s.mu.Lock()
		s.advance(t.elapsed(now))
		dropped += s.drop(limit - dropped)
		s.mu.Unlock()
		if dropped >= limit {
			break
		}
	}
	return dropped
}

// advance moves the shard's clock forward and never back.
func (s *shard) advance(elapsed time.Duration) { s.clock = max(s.clock, elapsed) }

// insert adds a record. It must not exist yet.
func (s *shard) insert(r *record) {
	s.records[r.id] = r
	heap.Push(&s.expiries, r)
	s.usage.records.Add(1)
}

// drop removes at most limit expired records and returns how many. Running
// ones stay until they finish, because duplicates still wait for them.
func (s *shard) drop(limit int) int {
	dropped := 0
	for dropped < limit && len(s.expiries) > 0 && s.expiries[0].expiry <= s.clock {
		r := heap.Pop(&s.expiries).(*record)
		if r.running {
			r.expired = true
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

// expiryHeap orders records by expiry, earliest first.
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
