package once

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// recordID identifies a record; the same key under another token is another
// request.
type recordID struct {
	token Token
	key   fleet.Key
}

// record is what is known about one key. Its shard's mutex guards it.
type record struct {
	id          recordID
	fingerprint Fingerprint
	expiry      time.Duration
	running     bool
	// expired means that the record expired while it was running, and is no
	// longer in the shard's heap.
	expired     bool
	response    exchange.Response
	bodyDropped bool
	// ended is closed when the record stops running; nil afterwards.
	ended chan struct{}
}

// recorded returns the response to keep for duplicates of a request that
// ended with r.
func recorded(r exchange.Response) exchange.Response {
	switch r.Outcome {
	case fleet.Done:
		r.Load = exchange.Load{}
		return r
	case fleet.NotRun:
		if exchange.Refuse(r.Code, "").Outcome == fleet.NotRun {
			return exchange.Refuse(exchange.Refused, "the key is recorded as refused: "+string(r.Code))
		}
	}
	if r.Code == "" || exchange.Refuse(r.Code, "").Outcome != fleet.Unknown {
		r.Code = exchange.UpstreamLost
	}
	return exchange.Refuse(r.Code, r.Message)
}

// decide answers a duplicate of the record.
func (r *record) decide(f Fingerprint) Decision {
	switch {
	case r.fingerprint == Fingerprint{}:
		return refuse(exchange.HomeLost, "the record does not say which request it belongs to")
	case r.fingerprint != f:
		return refuse(exchange.KeyReused, "the key was used for a different request")
	case r.running:
		return Decision{Verdict: Wait, Finished: r.ended}
	case r.response.Outcome == fleet.Done:
		return Decision{Verdict: Replay, Response: r.response, BodyDropped: r.bodyDropped}
	default:
		return Decision{Verdict: Refuse, Response: r.response}
	}
}

// headerSize counts the bytes of all header fields.
func headerSize(headers []exchange.Header) int64 {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
