package once

import (
	"crypto/sha256"
	"encoding/binary"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// keyLimit is the largest length of a key in bytes; a UUID needs 36.
const keyLimit = 200

// Fingerprint is the SHA-256 digest of a request's service, method, URI and
// body. It detects a key that is used for a second, different request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r exchange.Request) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(r.Service), []byte(r.Method), []byte(r.URI), r.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Arrival is one arrival of a protected request, the first or a duplicate.
type Arrival struct {
	Token       Token
	Key         fleet.Key
	Service     fleet.ServiceName
	Fingerprint Fingerprint
}

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	// Ticket is set when Verdict is Start.
	Ticket *Ticket
	// Response is set when Verdict is Replay or Refuse. It is shared with
	// other duplicates and must not be modified.
	Response exchange.Response
	// BodyDropped means that the replayed response had a body that is no
	// longer held; its status and headers are complete.
	BodyDropped bool
	// Finished is closed when the running arrival ends; then ask again. It is
	// set when Verdict is Wait.
	Finished <-chan struct{}
}

// Ticket is the right to start one request once, and the duty to finish it.
type Ticket struct {
	shard  *shard
	record *record
}

func refuse(code exchange.Code, message string) Decision {
	return Decision{Verdict: Refuse, Response: exchange.Refuse(code, message)}
}

// admit checks what needs no record: the token, its service and the key. A
// refusal here is final, because the same arrival can never pass later.
func (a authority) admit(arrival Arrival) (Claims, *Decision) {
	claims, genuine := a.check(arrival.Token)
	if !genuine {
		d := refuse(exchange.TokenInvalid, "the token was not issued by this home")
		return Claims{}, &d
	}
	if claims.Service != arrival.Service {
		d := refuse(exchange.BadRequest, "the token is for service "+string(claims.Service))
		return Claims{}, &d
	}
	if len(arrival.Key) == 0 || len(arrival.Key) > keyLimit {
		d := refuse(exchange.BadRequest, "the key must have 1 to 200 bytes")
		return Claims{}, &d
	}
	return claims, nil
}
