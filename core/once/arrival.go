package once

import (
	"crypto/sha256"
	"encoding/binary"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// maxKeyBytes bounds the length of a key; a UUID needs 36 bytes.
const maxKeyBytes = 200

// Fingerprint is the SHA-256 digest of a request's service, method, URI and
// body. It detects the reuse of a key for a different request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. Each part is hashed with
// its length, so that different requests have different input to the hash.
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

// Arrival is one arrival of a protected request, the first one or a duplicate.
type Arrival struct {
	Token       Token
	Key         fleet.Key
	Service     fleet.ServiceName
	Fingerprint Fingerprint
}

// Decision is how an arrival is processed.
type Decision struct {
	Verdict Verdict
	// Ticket is set when Verdict is Start.
	Ticket *Ticket
	// Response is set when Verdict is Replay or Refuse. It is shared with
	// other duplicates and must not be modified.
	Response exchange.Response
	// BodyDropped means that the body of the replayed response is no longer
	// stored; its status and headers are complete.
	BodyDropped bool
	// Finished is set when Verdict is Wait. It is closed when the running request
	// finishes; the caller then requests a new decision.
	Finished <-chan struct{}
}

// Ticket permits the holder to start one request once. The holder must call
// Ledger.Finish with it.
type Ticket struct {
	shard  *shard
	record *record
}

func refuse(code exchange.Code, message string) Decision {
	return Decision{Verdict: Refuse, Response: exchange.Refuse(code, message)}
}

// validate checks the token, its service and the key, which needs no record. It
// returns nil if they are valid. A refusal is final: the same arrival can never
// become valid.
func (a authority) validate(arrival Arrival) (Claims, *Decision) {
	claims, valid := a.verify(arrival.Token)
	if !valid {
		d := refuse(exchange.TokenInvalid, "the token was not issued by this home")
		return Claims{}, &d
	}
	if claims.Service != arrival.Service {
		d := refuse(exchange.BadRequest, "the token is for service "+string(claims.Service))
		return Claims{}, &d
	}
	if len(arrival.Key) == 0 || len(arrival.Key) > maxKeyBytes {
		d := refuse(exchange.BadRequest, "the key must have 1 to 200 bytes")
		return Claims{}, &d
	}
	return claims, nil
}
