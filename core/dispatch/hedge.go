package dispatch

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
)

// runHedged runs an idempotent request. Another attempt starts when one fails or when
// the latest takes longer than expected; the first final response is returned.
func (r *requestRun) runHedged(ctx context.Context) exchange.Response {
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	hedged := &hedgedRun{parent: r, ctx: ctx, outcomes: make(chan attemptOutcome, maxSends)}
	defer hedged.attempts.Wait()
	defer cancel()
	return hedged.run()
}

// hedgedRun runs the concurrent attempts of one request.
type hedgedRun struct {
	parent   *requestRun
	ctx      context.Context
	attempts conc.WaitGroup
	outcomes chan attemptOutcome
	// outstanding is the number of attempts that have not ended, started the number of
	// all attempts.
	outstanding int
	started     int
	// possiblySent is the number of attempts that are outstanding, or that ended and
	// may have reached a server.
	possiblySent int
}

// run starts attempts until one returns a final response or none is left.
func (h *hedgedRun) run() exchange.Response {
	r := h.parent
	chosen, pickResult := r.pickIfHeld(h.mayTrial())
	if chosen == nil {
		return r.finalResponse(pickResult)
	}
	hedgeTimer, stop := h.startAttempt(chosen, false)
	defer func() { stop() }()
	for h.outstanding > 0 {
		select {
		case o := <-h.outcomes:
			h.outstanding--
			r.recordAttempt(o)
			if !o.evidence.Written {
				h.possiblySent--
			}
			if r.isFinal(o.response) {
				return o.response
			}
			if h.outstanding > 0 || !r.mayRetry(h.ctx) {
				continue
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			if !h.mayHedge() {
				continue
			}
		}
		if next := h.pickNext(); next != nil {
			stop()
			hedgeTimer, stop = h.startAttempt(next, true)
		}
	}
	return r.finalResponse(pickResult)
}

// pickNext chooses the server of another attempt, nil if there is none or maxSends is
// reached.
func (h *hedgedRun) pickNext() *balance.Attempt {
	if h.started >= maxSends {
		return nil
	}
	chosen, _ := h.parent.pickIfHeld(false)
	return chosen
}

// mayTrial reports whether the first attempt may test a suspected server. This
// requires that a second attempt can follow.
func (h *hedgedRun) mayTrial() bool { return h.parent.mayTrial(h.parent.engine.options.Clock.Now()) }

func (r *requestRun) mayTrial(now time.Time) bool {
	return r.route.MaxAttempts > 1 && r.upstream.RepeatWindow.RemainingRepeats(now, int(r.grant.priority())) >= minRepeatsForTrial
}

// mayHedge reports whether another attempt may start while one is outstanding. If it
// returns true, it has consumed a repeat of the quota.
func (h *hedgedRun) mayHedge() bool {
	r := h.parent
	now := r.engine.options.Clock.Now()
	if h.ctx.Err() != nil || h.possiblySent >= r.route.MaxAttempts {
		return false
	}
	expected := r.upstream.Servers.ExpectedDuration(balance.RequestKind(r.route.Name), r.route.LatencyObjective)
	return r.request.Deadline.Sub(now) > expected/2 && r.upstream.RepeatWindow.TryRepeat(now, int(r.grant.priority()))
}

// startAttempt starts an attempt in a goroutine. The returned timer fires when a hedge
// is due.
func (h *hedgedRun) startAttempt(chosen *balance.Attempt, hedge bool) (hedgeTimer <-chan time.Time, stop func()) {
	r := h.parent
	h.outstanding++
	h.started++
	h.possiblySent++
	// The goroutine uses these copies and not r, whose owner may change it
	// meanwhile.
	engine, request, allowed, arrivedAt := r.engine, r.request, r.grant, r.arrivedAt
	h.attempts.Go(func() { h.outcomes <- engine.send(h.ctx, request, allowed, arrivedAt, chosen, hedge) })
	factor := hedgeFactor
	if chosen.Trial {
		factor = trialHedgeFactor
	}
	return engine.options.Clock.NewTimer(time.Duration(factor*float64(chosen.ExpectedDuration)) + hedgeMargin)
}
