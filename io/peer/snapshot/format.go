package snapshot

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
)

const (
	pathChanges  = "/changes"
	pathDocument = "/document"

	// paramKnown is the position that the requesting instance already has.
	paramKnown = "known"
	// paramKind, paramGeneration and paramOffset name the requested part of a document.
	paramKind       = "kind"
	paramGeneration = "generation"
	paramOffset     = "offset"

	// Fields of the header of a part.
	headerGeneration = "Generation"
	headerDigest     = "Digest"
	headerSize       = "Size"
	headerOffset     = "Offset"
	// headerAge is the time since the document was encoded, as text of a duration.
	headerAge = "Since"

	// partBytes is the largest part of a document.
	partBytes = 16 << 10
	// maxDocumentBytes is the size of the largest document, before and after compression.
	maxDocumentBytes = 32 << 20
)

// encode returns a message as compressed protobuf. Equal messages have equal encodings.
func encode(message proto.Message) ([]byte, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "cannot encode a copy")
	}
	var encoded bytes.Buffer
	compressor, err := flate.NewWriter(&encoded, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "cannot create a compressor")
	}
	if _, err := compressor.Write(plain); err != nil {
		return nil, eris.Wrap(err, "cannot compress a copy")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "cannot compress a copy")
	}
	return encoded.Bytes(), nil
}

// decode decodes a message that encode encoded.
func decode(encoded []byte, message proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxDocumentBytes+1))
	if err != nil {
		return eris.Wrap(err, "cannot decompress a copy")
	}
	if len(plain) > maxDocumentBytes {
		return eris.New("the copy is too large")
	}
	return eris.Wrap(proto.Unmarshal(plain, message), "cannot decode a copy")
}

// formatGeneration returns the text of a generation. Without an era it is the number alone,
// which earlier releases send and read.
func formatGeneration(g follow.Generation) string {
	return fleet.Position{Era: g.Era, Revision: fleet.Revision(g.Number)}.String()
}

// parseGeneration parses the text that formatGeneration returns.
func parseGeneration(text string) (follow.Generation, error) {
	p, err := fleet.ParsePosition(text)
	return follow.PositionGeneration(p), err
}

func digestOf(encoded []byte) fleet.Digest {
	sum := sha256.Sum256(encoded)
	return fleet.Digest(hex.EncodeToString(sum[:]))
}
