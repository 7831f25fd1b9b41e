package once

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// recordID identifies a record. The same key with another token identifies
// another request.
type recordID struct {
	token Token
	key   fleet.Key
}

// record is the state of the request with one key. The mutex of its shard guards
// it.
type record struct {
	id          recordID
	fingerprint Fingerprint
	expiry      time.Duration
	running     bool
	// expiredWhileRunning means that the record has left the expiry heap of its
	// shard and has to return to it when the request finishes.
	expiredWhileRunning bool
	response            exchange.Response
	bodyDropped         bool
	// finished is closed when the request finishes, and nil afterwards.
	finished chan struct{}
}

// storedResponse returns the response to store for the duplicates of a request
// that finished with the given response.
func storedResponse(response exchange.Response) exchange.Response {
	switch response.Outcome {
	case fleet.Done:
		response.Load = exchange.Load{}
		return response
	case fleet.NotRun:
		if exchange.Refuse(response.Code, "").Outcome == fleet.NotRun {
			return exchange.Refuse(exchange.Refused, "the key is recorded as refused: "+string(response.Code))
		}
	}
	if response.Code == "" || exchange.Refuse(response.Code, "").Outcome != fleet.Unknown {
		response.Code = exchange.UpstreamLost
	}
	return exchange.Refuse(response.Code, response.Message)
}

// decideDuplicate decides about an arrival whose key is recorded. An arrival with
// another fingerprint is refused.
func (r *record) decideDuplicate(f Fingerprint) Decision {
	switch {
	case r.fingerprint == Fingerprint{}:
		return refuse(exchange.HomeLost, "the record does not say which request it belongs to")
	case r.fingerprint != f:
		return refuse(exchange.KeyReused, "the key was used for a different request")
	case r.running:
		return Decision{Verdict: Wait, Finished: r.finished}
	case r.response.Outcome == fleet.Done:
		return Decision{Verdict: Replay, Response: r.response, BodyDropped: r.bodyDropped}
	default:
		return Decision{Verdict: Refuse, Response: r.response}
	}
}

// headerSize returns the bytes of all header names and values.
func headerSize(headers []exchange.Header) int64 {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
