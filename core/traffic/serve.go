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

// Result is the response for a caller, with the token and key under which a
// protected request was recorded.
type Result struct {
	Response exchange.Response
	Token    once.Token
	Key      fleet.Key
}

// Serve runs a request of a caller. The context ends when the caller
// disconnects.
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
		return Result{Response: e.runOnOwners(ctx, request)}
	}
	return e.serveProtected(ctx, request, token)
}

// refuseEarly refuses a request without consulting its home. With a token it may
// be a duplicate of a request that ran, so its outcome is unknown.
func refuseEarly(token once.Token, refusal exchange.Response) Result {
	if token != "" {
		refusal = refusal.ForDuplicate()
	}
	return Result{Response: refusal}
}

// serveProtected submits a protected request to the home of its token. A request
// without a token and key gets new ones.
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
	return Result{Response: e.submitToHome(ctx, claims.Home, token, request), Token: token, Key: request.Key}
}

// submitToHome submits a protected request to its home or, if the home stopped,
// to the successor that holds its records.
func (e *Engine) submitToHome(ctx context.Context, home fleet.Member, token once.Token, request exchange.Request) exchange.Response {
	if response, handled := e.responseFromRecords(ctx, token, request); handled {
		return response
	}
	view := e.options.Control.View()
	peer, found := homePeer(view, home)
	if !found {
		return exchange.Refuse(exchange.HomeLost, "the home of the token is gone")
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	request.Hops++
	response, delivered := e.options.Peers.Submit(ctx, peer, token, request)
	if !delivered {
		return exchange.Refuse(exchange.HomeLost, "the home of the token cannot be reached")
	}
	return response
}

// homePeer returns the instance that holds the records of an incarnation: its
// successor if it left and named one, else the incarnation itself.
func homePeer(view *control.View, home fleet.Member) (member.Peer, bool) {
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
	// A fenced incarnation may have rejoined with the same address, and the
	// instance at the address still holds the records.
	return member.Peer{Member: info.Member, Address: info.PeerAddress}, true
}

// Submit processes a protected request that another instance forwarded. It
// returns false if this instance is neither its home nor holds the records of
// its home.
func (e *Engine) Submit(ctx context.Context, token once.Token, request exchange.Request) (exchange.Response, bool) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	return e.responseFromRecords(ctx, token, request)
}

// responseFromRecords starts or replays a request if this instance holds the
// records of its home, and returns false otherwise.
func (e *Engine) responseFromRecords(ctx context.Context, token once.Token, request exchange.Request) (exchange.Response, bool) {
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
		return e.startOrReplay(ctx, ledger, arrival, request), true
	}
	if archive, found := e.archives.Load(claims.Home); found {
		return e.replayArchived(ctx, archive.(*once.Archive), arrival, request), true
	}
	return exchange.Response{}, false
}

// decideFunc returns the decision of a ledger or an archive on one arrival of
// a protected request.
type decideFunc func(arrival once.Arrival) once.Decision

// startOrReplay runs a request at its home. If an earlier arrival started the
// request, it returns the recorded response instead.
func (e *Engine) startOrReplay(ctx context.Context, ledger *once.Ledger, arrival once.Arrival, request exchange.Request) exchange.Response {
	decision, response := e.awaitDecision(ctx, request, arrival, func(a once.Arrival) once.Decision {
		return ledger.Begin(e.options.Clock.Now(), a)
	})
	if decision.Verdict != once.Start {
		return response
	}
	// The request continues if the caller disconnects, so that its record has a
	// definite outcome when the caller repeats the request.
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	finished := false
	defer func() {
		if !finished {
			ledger.Finish(e.options.Clock.Now(), decision.Ticket, exchange.Refuse(exchange.UpstreamLost, "the request ended abnormally"))
		}
	}()
	response = e.runOnOwners(runCtx, request)
	ledger.Finish(e.options.Clock.Now(), decision.Ticket, response)
	finished = true
	return response
}

// replayArchived returns the response recorded by an ended incarnation.
func (e *Engine) replayArchived(ctx context.Context, archive *once.Archive, arrival once.Arrival, request exchange.Request) exchange.Response {
	_, response := e.awaitDecision(ctx, request, arrival, func(a once.Arrival) once.Decision {
		return archive.Decide(e.options.Clock.Now(), a)
	})
	return response
}

// awaitDecision calls decide until its verdict is not Wait. Between calls it
// waits for the earlier arrival to finish, at most until the deadline of the
// request.
func (e *Engine) awaitDecision(ctx context.Context, request exchange.Request, arrival once.Arrival, decide decideFunc) (once.Decision, exchange.Response) {
	decision := decide(arrival)
	if decision.Verdict != once.Wait || decision.BodyDropped {
		return decision, decisionResponse(decision)
	}
	// The context with a timer is created for duplicates only.
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
	return decision, decisionResponse(decision)
}

// decisionResponse returns the response for a decision other than to wait.
func decisionResponse(decision once.Decision) exchange.Response {
	if decision.BodyDropped {
		return exchange.Refuse(exchange.AnswerDropped, "the request ran; the body of its answer is no longer held")
	}
	return decision.Response
}
