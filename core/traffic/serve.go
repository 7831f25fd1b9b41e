package traffic

import (
	"context"
	"strconv"

	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
)

// Result is the answer to a caller, with the token and key under which a
// protected request was recorded.
type Result struct {
	Response exchange.Response
	Token    once.Token
	Key      fleet.Key
}

// Serve answers a request of a caller. The context ends when the caller goes
// away.
func (e *Engine) Serve(ctx context.Context, request exchange.Request, token once.Token) Result {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	view := e.options.Control.View()
	if !view.Config.Ready() {
		return refuseEarly(token, exchange.Refuse(exchange.NotReady, "no configuration is in force yet"))
	}
	if _, known := view.Config.Service(request.Service); !known {
		return refuseEarly(token, exchange.Refuse(exchange.NoService, "service is not configured"))
	}
	request.Protected = view.Config.Protected(request.Service, request.Method, request.URI)
	if !request.Protected {
		ctx, cancel := context.WithDeadline(ctx, request.Deadline)
		defer cancel()
		return Result{Response: e.run(ctx, request)}
	}
	return e.serveProtected(ctx, request, token)
}

// refuseEarly refuses a request before its home is asked.
func refuseEarly(token once.Token, refusal exchange.Response) Result {
	if token != "" {
		refusal = refusal.ForDuplicate()
	}
	return Result{Response: refusal}
}

// serveProtected finds the home of the token and lets it decide.
func (e *Engine) serveProtected(ctx context.Context, request exchange.Request, token once.Token) Result {
	if token == "" && request.Key != "" {
		return Result{Response: exchange.Refuse(exchange.TokenRequired, "a key needs the token of an assignment")}
	}
	if token == "" {
		minted, err := e.Mint(request.Service)
		if err != nil {
			return Result{Response: exchange.Refuse(exchange.Stopping, "this instance starts no protected requests")}
		}
		token = minted
	}
	if request.Key == "" {
		request.Key = fleet.Key(strconv.FormatUint(e.options.Random.Uint64(), 36))
	}
	claims, err := once.ParseClaims(token)
	if err != nil {
		return Result{Response: exchange.Refuse(exchange.BadRequest, "token is malformed")}
	}
	return Result{Response: e.submit(ctx, claims.Home, token, request), Token: token, Key: request.Key}
}

// submit hands a protected request to its home or to who answers for it.
func (e *Engine) submit(ctx context.Context, home fleet.Member, token once.Token, request exchange.Request) exchange.Response {
	if response, answered := e.answer(ctx, token, request); answered {
		return response
	}
	view := e.options.Control.View()
	to, found := findHome(view, home)
	if !found {
		return exchange.Refuse(exchange.HomeLost, "the home of the token is gone")
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	request.Hops++
	response, delivered := e.options.Peers.Submit(ctx, to, token, request)
	if !delivered {
		return exchange.Refuse(exchange.HomeLost, "the home of the token cannot be reached")
	}
	return response
}

// findHome returns who answers for the records of an incarnation.
func findHome(view *control.View, home fleet.Member) (member.Peer, bool) {
	info, known := view.Members.Lookup(home)
	if !known {
		return member.Peer{}, false
	}
	if info.Status == member.Left && !info.Successor.IsZero() {
		successor, known := view.Members.Lookup(info.Successor)
		if !known {
			return member.Peer{}, false
		}
		return member.Peer{Member: successor.Member, Address: successor.PeerAddress}, true
	}
	// A fenced incarnation may have rejoined under the same address and still
	// answers for its records.
	return member.Peer{Member: info.Member, Address: info.PeerAddress}, true
}

// Submit answers a protected request if this instance is its home or holds the
// records of its home, and reports false otherwise.
func (e *Engine) Submit(ctx context.Context, token once.Token, request exchange.Request) (exchange.Response, bool) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	return e.answer(ctx, token, request)
}

// answer answers from the records of this instance, if it has those of the
// home.
func (e *Engine) answer(ctx context.Context, token once.Token, request exchange.Request) (exchange.Response, bool) {
	request.Protected = true
	claims, err := once.ParseClaims(token)
	if err != nil {
		return exchange.Refuse(exchange.BadRequest, "token is malformed"), true
	}
	arrival := once.Arrival{
		Token:       token,
		Key:         request.Key,
		Service:     request.Service,
		Fingerprint: once.FingerprintOf(request),
	}
	ledger := e.ledger.Load()
	if claims.Home == ledger.Home() {
		return e.runOnce(ctx, ledger, arrival, request), true
	}
	if archive, found := e.archives.Load(claims.Home); found {
		return e.replay(ctx, archive.(*once.Archive), arrival, request), true
	}
	return exchange.Response{}, false
}

// decider decides about the arrivals of protected requests.
type decider func(arrival once.Arrival) once.Decision

// runOnce starts a request that was not started before, or answers from its
// record.
func (e *Engine) runOnce(ctx context.Context, ledger *once.Ledger, arrival once.Arrival, request exchange.Request) exchange.Response {
	decision, response := e.await(ctx, request, arrival, func(a once.Arrival) once.Decision {
		return ledger.Begin(e.options.Clock.Now(), a)
	})
	if decision.Verdict != once.Start {
		return response
	}
	// The request goes on when the caller leaves, so that its record has a
	// definite outcome when the caller asks again.
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	finished := false
	defer func() {
		if !finished {
			ledger.Finish(e.options.Clock.Now(), decision.Ticket, exchange.Refuse(exchange.UpstreamLost, "the request ended abnormally"))
		}
	}()
	response = e.run(run, request)
	ledger.Finish(e.options.Clock.Now(), decision.Ticket, response)
	finished = true
	return response
}

// replay answers from the records of an ended incarnation.
func (e *Engine) replay(ctx context.Context, archive *once.Archive, arrival once.Arrival, request exchange.Request) exchange.Response {
	_, response := e.await(ctx, request, arrival, func(a once.Arrival) once.Decision {
		return archive.Decide(e.options.Clock.Now(), a)
	})
	return response
}

// await asks for a decision until it is not to wait for an earlier duplicate.
func (e *Engine) await(ctx context.Context, request exchange.Request, arrival once.Arrival, decide decider) (once.Decision, exchange.Response) {
	decision := decide(arrival)
	if decision.Verdict != once.Wait || decision.BodyDropped {
		return decision, decided(decision)
	}
	// Only duplicates need a context with a timer.
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	for decision.Verdict == once.Wait && !decision.BodyDropped {
		select {
		case <-decision.Finished:
		case <-ctx.Done():
			return decision, exchange.Refuse(exchange.Running, "an earlier copy of the request is still running")
		}
		decision = decide(arrival)
	}
	return decision, decided(decision)
}

// decided returns the response of a decision that is not to wait.
func decided(decision once.Decision) exchange.Response {
	if decision.BodyDropped {
		return exchange.Refuse(exchange.AnswerDropped, "the request ran; the body of its answer is no longer held")
	}
	return decision.Response
}
