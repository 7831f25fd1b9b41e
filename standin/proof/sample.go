package proof

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/core/fleet"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
	"galenaridge/standin/server"
)

// sampleInterval is the time between two samples of the states.
const sampleInterval = 50 * time.Millisecond

// sampleTimeout bounds the read of one state, so that a paused instance does
// not delay a sample.
const sampleTimeout = 400 * time.Millisecond

// readStates returns the states of all instances that respond within
// sampleTimeout.
func (s *system) readStates(ctx context.Context) map[harness.Slot]operator.InstanceState {
	var mu sync.Mutex
	states := map[harness.Slot]operator.InstanceState{}
	readers := pool.New()
	for _, slot := range s.fleet.Slots() {
		readers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
			defer cancel()
			text, err := s.fleet.InstanceState(ctx, slot)
			if err != nil {
				return
			}
			var state operator.InstanceState
			if json.Unmarshal(text, &state) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[slot] = state
		})
	}
	readers.Wait()
	return states
}

// sampler reads the states of all instances in the background until it is
// stopped.
type sampler struct {
	cancel context.CancelFunc
	wait   conc.WaitGroup
}

// startSampling starts a sampler that passes each sample to handle. All calls
// of handle come from one goroutine.
func (s *system) startSampling(ctx context.Context, handle func(at time.Time, states map[harness.Slot]operator.InstanceState)) *sampler {
	ctx, cancel := context.WithCancel(ctx)
	running := &sampler{cancel: cancel}
	running.wait.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			at := time.Now()
			states := s.readStates(ctx)
			if ctx.Err() != nil {
				return
			}
			handle(at, states)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return running
}

// stop ends the sampling. After it returns, handle is not called any more.
func (s *sampler) stop() {
	s.cancel()
	s.wait.Wait()
}

// countOwnedServers returns the number of servers that have an owner.
func countOwnedServers(states map[harness.Slot]operator.InstanceState) int {
	owned := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, server := range state.OwnedServers {
			owned[server.ID] = true
		}
	}
	return len(owned)
}

// statsOfService returns the stats of the servers of one service.
func statsOfService(stats map[fleet.ServerID]server.Stats, name fleet.ServiceName) []server.Stats {
	var found []server.Stats
	for _, serverStats := range stats {
		if serverStats.Service == name {
			found = append(found, serverStats)
		}
	}
	return found
}
