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

// sampleInterval is how often states are read.
const sampleInterval = 50 * time.Millisecond

// sampleTimeout bounds the read of one state, so that a paused instance does
// not delay the others.
const sampleTimeout = 400 * time.Millisecond

// readStates returns the states of all instances that answer.
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

// sampler reads the states of all instances until it is stopped.
type sampler struct {
	cancel context.CancelFunc
	wait   conc.WaitGroup
}

// startSampling gives each sample to a function, which only one goroutine calls.
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

// stop ends the sampling; the results may be read after it.
func (s *sampler) stop() {
	s.cancel()
	s.wait.Wait()
}

// countOwnedServers counts the servers that have an owner.
func countOwnedServers(states map[harness.Slot]operator.InstanceState) int {
	owned := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, server := range state.OwnedServers {
			owned[server.ID] = true
		}
	}
	return len(owned)
}

// statsOfService returns the counts of the servers of one service.
func statsOfService(stats map[fleet.ServerID]server.Stats, name fleet.ServiceName) []server.Stats {
	var found []server.Stats
	for _, one := range stats {
		if one.Service == name {
			found = append(found, one)
		}
	}
	return found
}
