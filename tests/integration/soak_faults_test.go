package integration_test

import (
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
	"galenaridge/standin/store"
)

// disturb does one random thing.
func (s *soak) disturb() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	server := s.servers[s.random.IntN(len(s.servers))]
	planned := []func(){
		func() { s.terminate(n) },
		func() { s.signal(n, syscall.SIGHUP) },
		func() { s.change() },
		func() { s.leave(server) },
	}
	unplanned := []func(){
		func() { s.kill(n) },
		func() { s.pause(n) },
		func() { s.store.SetMode(store.Mode(s.random.IntN(int(store.Silent) + 1))) },
		func() { s.store.SetMode(store.Up); s.store.Compact() },
		func() { s.spoil(server) },
		func() { server.SetFault(backend.None) },
		s.harm,
		s.harm,
		s.harm,
	}
	if !s.planned {
		planned = append(planned, unplanned...)
	}
	planned[s.random.IntN(len(planned))]()
}

// spoil gives a server a fault. Behind a link, the reset of an answer without a
// length would look like its end.
func (s *soak) spoil(server *backend.Server) {
	fault := backend.Fault(s.random.IntN(int(backend.Encoded) + 1))
	if fault == backend.CloseDelimitedReset && linked(server) {
		fault = backend.CloseDelimited
	}
	server.SetFault(fault)
}

// harm makes the path to a server, to the store or to an instance bad for a while:
// slow, reset, cut in one direction, silent or refused.
func (s *soak) harm() {
	states := s.links.States()
	name := states[s.random.IntN(len(states))].Name
	yes, no := true, false
	delay, none := jsontime.Duration(time.Duration(20+s.random.IntN(300))*time.Millisecond), jsontime.Duration(0)
	tests := []struct{ begin, end link.Change }{
		{link.Change{Delay: &delay, Jitter: &delay}, link.Change{Delay: &none, Jitter: &none}},
		{link.Change{Reset: true}, link.Change{}},
		{link.Change{CutUp: &yes}, link.Change{CutUp: &no}},
		{link.Change{CutDown: &yes}, link.Change{CutDown: &no}},
		{link.Change{CutUp: &yes, CutDown: &yes}, link.Change{CutUp: &no, CutDown: &no, Reset: true}},
		{link.Change{Refuse: &yes}, link.Change{Refuse: &no}},
	}
	harm := tests[s.random.IntN(len(tests))]
	s.alter(name, harm.begin)
	s.later(time.Duration(100+s.random.IntN(2500))*time.Millisecond, func() { s.alter(name, harm.end) })
}

func (s *soak) alter(name string, change link.Change) {
	if _, err := s.links.Change(name, change); err != nil {
		s.t.Errorf("link %s: %v", name, err)
	}
}

// later ends a fault after a time, while others go on.
func (s *soak) later(after time.Duration, heal func()) {
	s.heals.Add(1)
	go func() {
		defer s.heals.Done()
		time.Sleep(after)
		heal()
	}()
}

func (s *soak) signal(n *gatewayNode, signal syscall.Signal) {
	if !s.stopping[n] {
		_ = n.command.Process.Signal(signal)
	}
}

// kill ends a process and starts it again.
func (s *soak) kill(n *gatewayNode) {
	s.signal(n, syscall.SIGKILL)
	_ = n.command.Wait()
	delete(s.stopping, n)
	s.launch(n)
}

// pause freezes a process for a while.
func (s *soak) pause(n *gatewayNode) {
	s.signal(n, syscall.SIGSTOP)
	process := n.command.Process
	s.later(time.Duration(100+s.random.IntN(1500))*time.Millisecond, func() { _ = process.Signal(syscall.SIGCONT) })
}

// terminate makes a planned stop, unless it would leave less than half of the
// instances.
func (s *soak) terminate(n *gatewayNode) {
	for _, other := range s.ended() {
		delete(s.stopping, other)
		s.launch(other)
	}
	if s.stopping[n] || len(s.stopping) >= len(s.nodes)/2 {
		return
	}
	s.signal(n, syscall.SIGTERM)
	s.stopping[n] = true
}

// ended returns the instances whose planned stop is over.
func (s *soak) ended() []*gatewayNode {
	var over []*gatewayNode
	for n := range s.stopping {
		if strings.Contains(n.log.String(), `"event":"stopped"`) {
			require.NoError(s.t, n.command.Wait(), "%s ends its planned stop in order", n.name)
			over = append(over, n)
		}
	}
	return over
}

// leave lets a server drain, while others of its service stay.
func (s *soak) leave(server *backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, _, _ := strings.Cut(server.ID(), "-")
	for id := range s.leaving {
		if strings.HasPrefix(id, service) {
			return
		}
	}
	s.store.Put("servers/"+server.ID(), server.Entry(service, "a", "draining"))
	s.leaving[server.ID()] = time.Now()
}
