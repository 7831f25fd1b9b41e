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

// runRandomAction runs a random planned action or, unless plannedOnly is set,
// injects a random fault.
func (s *soak) runRandomAction() {
	instance := s.instances[s.random.IntN(len(s.instances))]
	server := s.servers[s.random.IntN(len(s.servers))]
	actions := []func(){
		func() { s.startPlannedStop(instance) },
		func() { s.signal(instance, syscall.SIGHUP) },
		func() { s.putNextConfig() },
		func() { s.drainServer(server) },
		s.putConfigSeries,
	}
	unplanned := []func(){
		func() { s.killAndRestart(instance) },
		func() { s.pause(instance) },
		func() { s.store.SetMode(store.Mode(s.random.IntN(int(store.Silent) + 1))) },
		func() { s.store.SetMode(store.Up); s.store.Compact() },
		func() { s.setRandomFault(server) },
		func() { server.SetFault(backend.None) },
		func() { server.SetEndless(soakEndlessTexts[s.random.IntN(len(soakEndlessTexts))]) },
		s.injectLinkFault,
		s.injectLinkFault,
		s.injectLinkFault,
	}
	if !s.plannedOnly {
		actions = append(actions, unplanned...)
	}
	actions[s.random.IntN(len(actions))]()
}

// setRandomFault sets a random fault of a server. Behind a link, CloseDelimited
// replaces CloseDelimitedReset: the link turns the reset into a clean close, which
// marks the normal end of a response without a length.
func (s *soak) setRandomFault(server *backend.Server) {
	fault := backend.Fault(s.random.IntN(int(backend.RefusedAgainUnnamed) + 1))
	if fault == backend.Leaving {
		// The notice of a server that leaves holds for the rest of its run.
		fault = backend.Pause
	}
	if fault == backend.CloseDelimitedReset && behindLink(server) {
		fault = backend.CloseDelimited
	}
	server.SetFault(fault)
}

// soakEndlessTexts are responses without end: no response, a header, a body, and a chunk
// extension.
var soakEndlessTexts = []backend.EndlessText{
	{Repeated: "\x00garbage"},
	{Start: "HTTP/1.1 200 OK\r\n", Repeated: "X-More: 1\r\n"},
	{Start: "HTTP/1.1 200 OK\r\nGalenaridge-Server-Signature: sig\r\n\r\n", Repeated: "body"},
	{Start: "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", Repeated: "x"},
}

// putConfigSeries writes several configurations shortly after each other.
func (s *soak) putConfigSeries() {
	for range 2 + s.random.IntN(4) {
		s.putNextConfig()
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
}

// injectLinkFault injects a temporary fault into the link to a server, the store
// or an instance: delay, a reset, a cut in one or both directions, or refused
// connections.
func (s *soak) injectLinkFault() {
	states := s.links.States()
	name := states[s.random.IntN(len(states))].Name
	on, off := true, false
	delay, none := jsontime.Duration(time.Duration(20+s.random.IntN(300))*time.Millisecond), jsontime.Duration(0)
	linkFaults := []struct{ begin, end link.Change }{
		{link.Change{Delay: &delay, Jitter: &delay}, link.Change{Delay: &none, Jitter: &none}},
		{link.Change{Reset: true}, link.Change{}},
		{link.Change{CutUp: &on}, link.Change{CutUp: &off}},
		{link.Change{CutDown: &on}, link.Change{CutDown: &off}},
		{link.Change{CutUp: &on, CutDown: &on}, link.Change{CutUp: &off, CutDown: &off, Reset: true}},
		{link.Change{Refuse: &on}, link.Change{Refuse: &off}},
	}
	fault := linkFaults[s.random.IntN(len(linkFaults))]
	s.changeLink(name, fault.begin)
	s.endAfter(time.Duration(100+s.random.IntN(2500))*time.Millisecond, func() { s.changeLink(name, fault.end) })
}

func (s *soak) changeLink(name string, change link.Change) {
	if _, err := s.links.Change(name, change); err != nil {
		s.t.Errorf("link %s: %v", name, err)
	}
}

// endAfter calls end after a time, in the background. checkRecovery waits for it.
func (s *soak) endAfter(after time.Duration, end func()) {
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		time.Sleep(after)
		end()
	}()
}

func (s *soak) signal(instance *gatewayInstance, signal syscall.Signal) {
	if !s.stopping[instance] {
		_ = instance.command.Process.Signal(signal)
	}
}

// killAndRestart kills the process of an instance and starts a new one.
func (s *soak) killAndRestart(instance *gatewayInstance) {
	s.signal(instance, syscall.SIGKILL)
	_ = instance.command.Wait()
	delete(s.stopping, instance)
	s.launch(instance)
}

// pause suspends the process of an instance with SIGSTOP for 0.1 s to 1.6 s.
func (s *soak) pause(instance *gatewayInstance) {
	s.signal(instance, syscall.SIGSTOP)
	process := instance.command.Process
	s.endAfter(time.Duration(100+s.random.IntN(1500))*time.Millisecond, func() { _ = process.Signal(syscall.SIGCONT) })
}

// startPlannedStop restarts the instances that have stopped and starts the planned
// stop of an instance, unless half of the instances are already stopping.
func (s *soak) startPlannedStop(instance *gatewayInstance) {
	for _, other := range s.stoppedInstances() {
		delete(s.stopping, other)
		s.launch(other)
	}
	if s.stopping[instance] || len(s.stopping) >= len(s.instances)/2 {
		return
	}
	s.signal(instance, syscall.SIGTERM)
	s.stopping[instance] = true
}

// stoppedInstances returns the instances that have completed their planned stop.
func (s *soak) stoppedInstances() []*gatewayInstance {
	var stopped []*gatewayInstance
	for instance := range s.stopping {
		if strings.Contains(instance.log.String(), `"event":"stopped"`) {
			require.NoError(s.t, instance.command.Wait(), "%s does not exit with status 0 after its planned stop", instance.name)
			stopped = append(stopped, instance)
		}
	}
	return stopped
}

// drainServer marks a server as draining in the store, unless another server of
// its service is already draining.
func (s *soak) drainServer(server *backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, _, _ := strings.Cut(server.ID(), "-")
	for id := range s.drainingSince {
		if strings.HasPrefix(id, service) {
			return
		}
	}
	s.store.Put("servers/"+server.ID(), server.Entry(service, "a", "draining"))
	s.drainingSince[server.ID()] = time.Now()
}
