package dispatch

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
)

// hedged runs an idempotent request: a further attempt starts when one failed
// or when the latest takes longer than usual, and the first answer counts.
func (r *run) hedged(ctx context.Context) exchange.Response {
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	race := &race{run: r, ctx: ctx, ended: make(chan outcome, maxSends)}
	defer race.attempts.Wait()
	defer cancel()
	return race.decide()
}

// race is a set of attempts of one request that are outstanding together.
type race struct {
	run      *run
	ctx      context.Context
	attempts conc.WaitGroup
	ended    chan outcome
	// open counts the attempts that have not ended, started all of them.
	open    int
	started int
	// launched counts the attempts that did not provably miss a server.
	launched int
}

// decide starts attempts until one answers.
func (c *race) decide() exchange.Response {
	r := c.run
	lease, refusal := r.pick(c.mayTry())
	if lease == nil {
		return r.final(refusal)
	}
	wait, stop := c.start(lease, false)
	defer func() { stop() }()
	for c.open > 0 {
		select {
		case o := <-c.ended:
			c.open--
			r.take(o)
			if !o.evidence.Written {
				c.launched--
			}
			if r.answered(o.response) {
				return o.response
			}
			if c.open > 0 || !r.again(c.ctx) {
				continue
			}
		case <-wait:
			wait = nil
			if !c.mayHedge() {
				continue
			}
		}
		if next := c.next(); next != nil {
			stop()
			wait, stop = c.start(next, true)
		}
	}
	return r.final(refusal)
}

// next chooses the server of a further attempt.
func (c *race) next() *balance.Attempt {
	if c.started >= maxSends {
		return nil
	}
	lease, _ := c.run.pick(false)
	return lease
}

// mayTry reports whether the first attempt may test a suspected server: a
// second one must be able to follow.
func (c *race) mayTry() bool {
	r := c.run
	now := r.engine.options.Clock.Now()
	return r.route.MaxAttempts > 1 && r.upstream.RepeatWindow.RemainingRepeats(now) >= trialReserve
}

// mayHedge decides about a further attempt while one is outstanding.
func (c *race) mayHedge() bool {
	r := c.run
	now := r.engine.options.Clock.Now()
	if c.ctx.Err() != nil || c.launched >= r.route.MaxAttempts {
		return false
	}
	expected := r.upstream.Servers.ExpectedDuration(balance.RequestKind(r.route.Name), r.route.LatencyObjective)
	return r.request.Deadline.Sub(now) > expected/2 && r.upstream.RepeatWindow.TryRepeat(now)
}

// start begins an attempt. The channel delivers when it is time for the next.
func (c *race) start(lease *balance.Attempt, hedge bool) (wait <-chan time.Time, stop func()) {
	r := c.run
	c.open++
	c.started++
	c.launched++
	// The goroutine gets copies, since the run goes on meanwhile.
	engine, request, arrived := r.engine, r.request, r.arrived
	c.attempts.Go(func() { c.ended <- engine.send(c.ctx, request, arrived, lease, hedge) })
	factor := hedgeFactor
	if lease.Trial {
		factor = trialHedgeFactor
	}
	return engine.options.Clock.NewTimer(time.Duration(factor*float64(lease.ExpectedDuration)) + hedgeSlack)
}
