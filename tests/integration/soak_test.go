package integration_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
	"galenaridge/standin/store"
)

// soakSeeds are the seeds that CI runs. A seed that ever failed stays here, with
// a line on its cause.
var soakSeeds = []uint64{1, 2}

const (
	soakTime    = 8 * time.Second
	soakCallers = 6
	// drainBound is the promise for leaving servers, and drainSlack the time that
	// the store's answer takes to be seen by the test.
	drainBound = 2 * time.Second
	drainSlack = 100 * time.Millisecond
)

// soak runs real processes, injects faults from outside, and checks promises from
// what callers and servers see.
type soak struct {
	*gatewayFleet
	random  *rand.Rand
	servers []*backend.Server
	version int
	// planned says that only planned work is done, in which nothing may be cut.
	planned bool

	mu       sync.Mutex
	calls    []soakCall
	leaving  map[string]time.Time
	stopping map[*gatewayNode]bool
}

// soakCall is what a caller saw.
type soakCall struct {
	id      string
	protect bool
	status  int
	body    string
}

// TestSoak guards the promises to callers under random faults: kills, pauses,
// planned stops and reloads in any order and overlap, a store that fails in each
// way, and servers that stall, shed, spoil answers and leave.
// SOAK_SEEDS=FIRST:COUNT runs other seeds.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if first, count, found := strings.Cut(os.Getenv("SOAK_SEEDS"), ":"); found {
		from, err := strconv.ParseUint(first, 10, 64)
		require.NoError(t, err)
		n, err := strconv.Atoi(count)
		require.NoError(t, err)
		seeds = nil
		for i := range n {
			seeds = append(seeds, from+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		gatewayFleet: newGatewayFleet(t, 6),
		random:       rand.New(rand.NewPCG(seed, 7)),
		planned:      seed%2 == 0,
		version:      3,
		leaving:      make(map[string]time.Time),
		stopping:     make(map[*gatewayNode]bool),
	}
	s.servers = s.backends("one", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	s.configure(s.version, "one")
	for _, n := range s.nodes {
		s.start(n)
	}
	s.awaitReady(s.nodes...)
	until := time.Now().Add(soakTime)
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.press(until, rand.New(rand.NewPCG(seed, uint64(100+i))))
		}()
	}
	for time.Now().Before(until) {
		s.disturb()
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
	}
	callers.Wait()
	s.recover()
	s.check()
}

// disturb does one random thing.
func (s *soak) disturb() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	server := s.servers[s.random.IntN(len(s.servers))]
	planned := []func(){
		func() { s.terminate(n) },
		func() { s.signal(n, syscall.SIGHUP) },
		func() { s.version++; s.configure(s.version, "one") },
		func() { s.leave(server) },
	}
	unplanned := []func(){
		func() { s.signal(n, syscall.SIGKILL); s.restart(n) },
		func() { s.pause(n) },
		func() { s.store.SetMode(store.Mode(s.random.IntN(int(store.Silent) + 1))) },
		func() { s.store.SetMode(store.Up); s.store.Compact() },
		func() { server.SetFault(backend.Fault(s.random.IntN(int(backend.Encoded) + 1))) },
		func() { server.SetFault(backend.None) },
	}
	if !s.planned {
		planned = append(planned, unplanned...)
	}
	planned[s.random.IntN(len(planned))]()
}

func (s *soak) signal(n *gatewayNode, signal syscall.Signal) {
	if !s.stopping[n] {
		_ = n.command.Process.Signal(signal)
	}
}

// restart waits for the end of a process and starts it again.
func (s *soak) restart(n *gatewayNode) {
	_ = n.command.Wait()
	s.start(n)
}

// pause freezes a process for a while.
func (s *soak) pause(n *gatewayNode) {
	s.signal(n, syscall.SIGSTOP)
	time.Sleep(time.Duration(100+s.random.IntN(1500)) * time.Millisecond)
	s.signal(n, syscall.SIGCONT)
}

// terminate makes a planned stop, unless it would leave less than half of the
// instances.
func (s *soak) terminate(n *gatewayNode) {
	for other, process := range s.ended() {
		_ = process
		delete(s.stopping, other)
		s.start(other)
	}
	if s.stopping[n] || len(s.stopping) >= len(s.nodes)/2 {
		return
	}
	s.signal(n, syscall.SIGTERM)
	s.stopping[n] = true
}

// ended returns the instances whose planned stop is over.
func (s *soak) ended() map[*gatewayNode]bool {
	over := make(map[*gatewayNode]bool)
	for n := range s.stopping {
		if strings.Contains(n.log.String(), `"event":"stopped"`) {
			_ = n.command.Wait()
			over[n] = true
		}
	}
	return over
}

// leave lets a server drain and be removed, while enough others stay.
func (s *soak) leave(server *backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.leaving[server.ID()]; gone || len(s.leaving) >= 2 {
		return
	}
	s.store.Put("servers/"+server.ID(), server.Entry("one", "a", "draining"))
	s.leaving[server.ID()] = time.Now()
}

// press sends requests until a time. A caller asks up to three directories.
func (s *soak) press(until time.Time, random *rand.Rand) {
	for time.Now().Before(until) {
		var addresses []string
		for range 3 {
			if addresses = s.resolve(s.nodes[random.IntN(len(s.nodes))], string(rune('a'+random.IntN(2)))); len(addresses) > 0 {
				break
			}
		}
		if len(addresses) == 0 {
			continue
		}
		call := soakCall{id: fmt.Sprintf("%d-%d", random.Uint64(), random.Uint64()), protect: random.IntN(3) > 0}
		method, path := "GET", "/read/"+call.id
		if call.protect {
			method, path = "POST", "/write/"+call.id
		}
		call.status, call.body = s.call(addresses[random.IntN(len(addresses))], method, path)
		s.mu.Lock()
		s.calls = append(s.calls, call)
		s.mu.Unlock()
	}
}

// recover ends all faults and checks that requests are served again.
func (s *soak) recover() {
	s.store.SetMode(store.Up)
	for _, server := range s.servers {
		server.SetFault(backend.None)
	}
	for _, n := range s.nodes {
		if !s.stopping[n] {
			_ = n.command.Process.Signal(syscall.SIGCONT)
		}
	}
	served := 0
	require.Eventually(s.t, func() bool {
		for _, n := range s.nodes {
			if s.stopping[n] {
				continue
			}
			if status, _ := s.call(n.front, "GET", "/read/after"); status != 200 {
				served = 0
				return false
			}
			served++
		}
		return served >= 20
	}, 8*time.Second, 20*time.Millisecond, "requests are served after the faults")
}

// check compares what callers and servers saw.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int)
	for _, server := range s.servers {
		for _, run := range server.Runs() {
			name := run.URI[strings.LastIndexByte(run.URI, '/')+1:]
			runs[name]++
			left, leaves := s.leaving[server.ID()]
			if leaves && !s.disturbedStore() {
				require.LessOrEqual(s.t, run.At.Sub(left), drainBound+drainSlack, "a request reached %s after it left", server.ID())
			}
		}
	}
	served := 0
	for _, call := range s.calls {
		if call.protect {
			require.LessOrEqual(s.t, runs[call.id], 1, "request %s ran twice", call.id)
		}
		switch call.status {
		case 200:
			served++
			require.True(s.t, strings.HasSuffix(call.body, "/"+call.id), "request %s got %q", call.id, call.body)
			require.Positive(s.t, runs[call.id])
		case 408, 421, 429, 503:
			require.Zero(s.t, runs[call.id], "request %s was said not to have run", call.id)
		default:
			require.False(s.t, s.planned, "request %s got %d %s in planned work", call.id, call.status, call.body)
		}
	}
	s.t.Logf("%d of %d requests served", served, len(s.calls))
	require.Greater(s.t, served*4, len(s.calls), "a quarter is served at least")
}

// disturbedStore reports whether the store failed in this run, which stretches the
// promise for leaving servers.
func (s *soak) disturbedStore() bool { return !s.planned }
