package follow

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Kind,Mode -transform=kebab -text -yaml=false -output=enums_enumer.go

// Kind is what an instance fetches from another one.
type Kind uint8

const (
	// Changes are the latest changes of the server listing. They are few and are fetched
	// in one call.
	Changes Kind = iota
	// Servers is the complete server listing, a document that is fetched in parts. Its
	// generations are positions.
	Servers
	// Configuration is the configuration, a document that is fetched in parts. Its
	// generations are versions.
	Configuration
)

// Generation orders the states of a document: a later state has a higher one. It is the
// position of a server listing, or the version of a configuration, which has no era.
type Generation struct {
	Era    fleet.Era
	Number uint64
}

// PositionGeneration returns the generation of a server listing.
func PositionGeneration(p fleet.Position) Generation {
	return Generation{Era: p.Era, Number: uint64(p.Revision)}
}

// VersionGeneration returns the generation of a configuration.
func VersionGeneration(version fleet.Version) Generation {
	return Generation{Number: uint64(version)}
}

// Compare orders generations by era and then by number.
func (g Generation) Compare(other Generation) int {
	return cmp.Or(cmp.Compare(g.Era, other.Era), cmp.Compare(g.Number, other.Number))
}

// Before reports whether g is lower than another generation.
func (g Generation) Before(other Generation) bool { return g.Compare(other) < 0 }

// IsZero reports whether g is the zero value, which identifies no state.
func (g Generation) IsZero() bool { return g == Generation{} }

// maxGeneration returns the higher of two generations.
func maxGeneration(a, b Generation) Generation {
	if a.Before(b) {
		return b
	}
	return a
}

// Part is a part of an encoded document.
type Part struct {
	Generation Generation
	// Digest identifies the encoded document. Parts from several peers fit together if
	// they have the same digest.
	Digest fleet.Digest
	// Size is the size of the whole encoded document in bytes.
	Size int
	// Offset is the position of Data in the encoded document in bytes.
	Offset int
	Data   []byte
	// Age is the time since the peer encoded the document.
	Age time.Duration
}

// PartRequest names the part of a document that is needed next. Generation is zero at
// the start of a transfer. A peer that no longer has the generation sends the first part
// of its current one.
type PartRequest struct {
	Kind       Kind
	Generation Generation
	Offset     int
}

var (
	errUnexpectedPart = errors.New("the part does not continue the transfer")
	errDigestMismatch = errors.New("the received document does not have the announced digest")
)

// transfer collects the parts of one document. It keeps what was received when a fetch
// fails, so that the next fetch continues there, also from another peer.
type transfer struct {
	generation Generation
	digest     fleet.Digest
	size       int
	data       []byte
	startedAt  time.Time
	age        time.Duration
}

// request returns the request for the part that is needed next.
func (t *transfer) request(kind Kind) PartRequest {
	return PartRequest{Kind: kind, Generation: t.generation, Offset: len(t.data)}
}

// add appends a part. The first part of another document starts the transfer anew.
func (t *transfer) add(now time.Time, p Part) error {
	if p.Offset == 0 && (t.generation.Before(p.Generation) || p.Generation == t.generation && p.Digest != t.digest) {
		*t = transfer{generation: p.Generation, digest: p.Digest, size: p.Size, startedAt: now}
	}
	if p.Generation != t.generation || p.Digest != t.digest || p.Offset != len(t.data) || len(p.Data) == 0 || len(t.data)+len(p.Data) > t.size {
		return errUnexpectedPart
	}
	t.data = append(t.data, p.Data...)
	t.age = p.Age
	return nil
}

func (t *transfer) complete() bool { return t.size > 0 && len(t.data) == t.size }

// verify returns an error if the complete document does not have its digest.
func (t *transfer) verify() error {
	sum := sha256.Sum256(t.data)
	if fleet.Digest(hex.EncodeToString(sum[:])) != t.digest {
		return errDigestMismatch
	}
	return nil
}
