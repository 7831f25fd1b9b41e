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

// sampleEvery is how often states are read.
const sampleEvery = 50 * time.Millisecond

// sampleTimeout bounds the read of one state, so that a paused instance does
// not delay the others.
const sampleTimeout = 400 * time.Millisecond

// states returns the states of all instances that answer.
func (s *stage) states(ctx context.Context) map[harness.Slot]operator.InstanceState {
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

// sample gives each sample to a function, which only one goroutine calls.
func (s *stage) sample(ctx context.Context, take func(at time.Time, states map[harness.Slot]operator.InstanceState)) *sampler {
	ctx, cancel := context.WithCancel(ctx)
	sampling := &sampler{cancel: cancel}
	sampling.wait.Go(func() {
		ticker := time.NewTicker(sampleEvery)
		defer ticker.Stop()
		for {
			at := time.Now()
			states := s.states(ctx)
			if ctx.Err() != nil {
				return
			}
			take(at, states)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return sampling
}

// stop ends the sampling; the results may be read after it.
func (s *sampler) stop() {
	s.cancel()
	s.wait.Wait()
}

// ownedServers counts the servers that have an owner.
func ownedServers(states map[harness.Slot]operator.InstanceState) int {
	owned := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, server := range state.OwnedServers {
			owned[server.ID] = true
		}
	}
	return len(owned)
}

// ofService returns the counts of the servers of one service.
func ofService(stats map[fleet.ServerID]server.Stats, name fleet.ServiceName) []server.Stats {
	var found []server.Stats
	for _, s := range stats {
		if s.Service == name {
			found = append(found, s)
		}
	}
	return found
}
