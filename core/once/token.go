package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash"
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// Sizes in bytes of the parts of a token.
const (
	nonceSize = 12
	// A MAC of 16 bytes keeps tokens short; 128 bits cannot be guessed within
	// the lifetime of a token.
	macSize    = 16
	secretSize = 32
	// maxTokenBytes bounds the encoded token, so that parsing stays cheap.
	maxTokenBytes = 512
)

// tokenVersion is the first byte of a token. It identifies the layout.
const tokenVersion = 1

// Token is an encoded, signed permission to start requests at a home.
type Token string

// Claims is the content of a token. It can be trusted only after its home, or a
// successor with the secret of the home, has verified the MAC.
type Claims struct {
	Home    fleet.Member
	Service fleet.ServiceName
	// Expiry is the home's elapsed time at which the token expires.
	Expiry time.Duration
}

// Errors about tokens.
var (
	// ErrMalformed means that a string is not a token, or that a name is too long
	// for a token.
	ErrMalformed = errors.New("malformed token")
	// ErrEnded means that the incarnation has ended and issues no more tokens.
	ErrEnded = errors.New("incarnation has ended")
)

// ParseClaims returns the claims of a token without verifying its MAC, so that
// any instance can forward a request to the home that the token names. The only
// error is ErrMalformed.
func ParseClaims(token Token) (Claims, error) {
	claims, _, _, err := parse(token)
	return claims, err
}

// parse splits a token into its claims, the payload that the MAC covers, and the
// MAC.
func parse(token Token) (claims Claims, payload, mac []byte, err error) {
	if len(token) > maxTokenBytes {
		return Claims{}, nil, nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(token))
	if err != nil || len(raw) < macSize {
		return Claims{}, nil, nil, ErrMalformed
	}
	// The decoder skips line breaks. A second encoding of the same token would
	// allow a second record for the same key, so only the canonical encoding is
	// accepted.
	if base64.RawURLEncoding.EncodeToString(raw) != string(token) {
		return Claims{}, nil, nil, ErrMalformed
	}
	payload, mac = raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	claims, err = parsePayload(payload)
	return claims, payload, mac, err
}

// parsePayload decodes the layout that authority.issue encodes.
func parsePayload(payload []byte) (Claims, error) {
	const fixedSize = 1 + 8 + 8 + nonceSize
	if len(payload) < fixedSize || payload[0] != tokenVersion {
		return Claims{}, ErrMalformed
	}
	incarnation := binary.BigEndian.Uint64(payload[1:])
	expiry := binary.BigEndian.Uint64(payload[9:])
	id, rest, ok := cutString(payload[fixedSize:])
	if !ok {
		return Claims{}, ErrMalformed
	}
	service, rest, ok := cutString(rest)
	if !ok || len(rest) != 0 {
		return Claims{}, ErrMalformed
	}
	return Claims{
		Home:    fleet.Member{ID: fleet.InstanceID(id), Incarnation: fleet.Incarnation(incarnation)},
		Service: fleet.ServiceName(service),
		Expiry:  time.Duration(expiry),
	}, nil
}

// cutString decodes a string with a length prefix of one byte from the start of
// data.
func cutString(data []byte) (text string, rest []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

// authority issues and verifies the tokens of one home.
type authority struct {
	home   fleet.Member
	secret []byte
	macs   *macPool
}

// newAuthority returns the authority of a home. Without a secret it accepts no
// token.
func newAuthority(home fleet.Member, secret []byte) authority {
	return authority{home: home, secret: secret, macs: &macPool{}}
}

// macPool is a typed pool of keyed hashes. It saves the cost of a new keyed
// hash, which hashes the secret twice and makes eight allocations.
type macPool struct{ pool sync.Pool }

func (p *macPool) get(secret []byte) hash.Hash {
	if h, ok := p.pool.Get().(hash.Hash); ok {
		h.Reset()
		return h
	}
	return hmac.New(sha256.New, secret)
}

func (p *macPool) put(h hash.Hash) { p.pool.Put(h) }

// issue returns the token with the given claims and a nonce of nonceSize bytes.
// It fails with ErrMalformed if a name is too long.
func (a authority) issue(claims Claims, nonce []byte) (Token, error) {
	if len(claims.Home.ID) > 255 || len(claims.Service) > 255 {
		return "", ErrMalformed
	}
	payload := []byte{tokenVersion}
	payload = binary.BigEndian.AppendUint64(payload, uint64(claims.Home.Incarnation))
	payload = binary.BigEndian.AppendUint64(payload, uint64(claims.Expiry))
	payload = append(payload, nonce...)
	payload = append(payload, byte(len(claims.Home.ID)))
	payload = append(payload, claims.Home.ID...)
	payload = append(payload, byte(len(claims.Service)))
	payload = append(payload, claims.Service...)
	token := Token(base64.RawURLEncoding.EncodeToString(append(payload, a.mac(payload)...)))
	if len(token) > maxTokenBytes {
		return "", ErrMalformed
	}
	return token, nil
}

// verify returns the claims of a token, and whether the authority's home issued
// it.
func (a authority) verify(token Token) (Claims, bool) {
	claims, payload, mac, err := parse(token)
	if err != nil || claims.Home != a.home || len(a.secret) == 0 {
		return Claims{}, false
	}
	return claims, hmac.Equal(mac, a.mac(payload))
}

func (a authority) mac(payload []byte) []byte {
	h := a.macs.get(a.secret)
	defer a.macs.put(h)
	_, _ = h.Write(payload)
	return h.Sum(nil)[:macSize]
}
