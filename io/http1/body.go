package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"sync"

	"github.com/valyala/fasthttp"
)

// Room bounds the memory of a body. Grow is called before bytes are allocated, and with a
// negative number after some are no longer needed; an error ends the reading.
type Room interface {
	Grow(bytes int) error
}

// Unbounded is a Room for a body that only the limit of its size bounds.
type Unbounded struct{}

// Grow implements Room.
func (Unbounded) Grow(int) error { return nil }

const (
	// firstPartBytes and maxPartBytes bound the allocations for a body without a length.
	// Each is as large as all earlier ones together.
	firstPartBytes = 4 << 10
	maxPartBytes   = 64 << 10
	// maxFreeCopyBytes is the size of the largest body whose parts do not count while they are
	// joined.
	maxFreeCopyBytes = 1 << 20
	// arrivedBytes is how much of a longer body must arrive before all of it is allocated.
	arrivedBytes = maxPartBytes
	// maxShortChunkDigits is the largest number of digits in the size of a chunk that is read
	// from the buffer in one step. More of them do not fit the buffer of any reader, or are
	// zeros.
	maxShortChunkDigits = 4
)

var (
	errChunk = errors.New("a chunk is not valid")
	// errChunkLine is the error of a chunk size or an extension that does not fit the
	// buffer of the reader.
	errChunkLine = fasthttp.ErrBodyTooLarge
)

// parts is a pool of parts of maxPartBytes. Bodies that are given up would otherwise leave
// garbage faster than it is collected.
var parts = partPool{}

// partPool is a typed pool of parts. It holds pointers to arrays, which need no allocation.
type partPool struct{ pool sync.Pool }

func (p *partPool) get() []byte {
	if part, ok := p.pool.Get().(*[maxPartBytes]byte); ok {
		return part[:0]
	}
	return make([]byte, 0, maxPartBytes)
}

func (p *partPool) put(part []byte) { p.pool.Put((*[maxPartBytes]byte)(part[:maxPartBytes])) }

// newPart returns an empty part of a size.
func newPart(size int) []byte {
	if size == maxPartBytes {
		return parts.get()
	}
	return make([]byte, 0, size)
}

// BodyReader reads a body into memory that is allocated as its bytes arrive: a peer
// cannot make the process allocate what it states only.
type BodyReader struct {
	Reader   *bufio.Reader
	MaxBytes int
	Room     Room
	// AtOnce allocates a body with a length before its bytes arrive.
	AtOnce bool

	// full are the full allocations of a body without a length, which are not copied while
	// it grows, and size is the sum of their bytes.
	full [][]byte
	size int
	// tail is the allocation that is being filled.
	tail []byte
}

// ReadSized reads a body with a length.
func (b *BodyReader) ReadSized(length int) ([]byte, error) {
	if length > b.MaxBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	if !b.AtOnce && length > arrivedBytes {
		if err := b.readStart(); err != nil {
			b.releaseParts()
			return nil, err
		}
	}
	if err := b.replaceTail(length); err != nil {
		return nil, err
	}
	for len(b.tail) < length {
		if err := b.fillTail(length - len(b.tail)); err != nil {
			return nil, unexpectedEnd(err)
		}
	}
	return b.tail, nil
}

// readStart reads the first arrivedBytes of a body into a part of the pool.
func (b *BodyReader) readStart() error {
	if _, err := b.Reader.Peek(1); err != nil {
		return unexpectedEnd(err)
	}
	if err := b.Room.Grow(maxPartBytes); err != nil {
		return err
	}
	b.tail = newPart(maxPartBytes)
	for len(b.tail) < arrivedBytes {
		if err := b.fillTail(arrivedBytes - len(b.tail)); err != nil {
			return unexpectedEnd(err)
		}
	}
	return nil
}

// replaceTail copies the tail to an allocation of a larger size.
func (b *BodyReader) replaceTail(size int) error {
	if err := b.Room.Grow(size - cap(b.tail)); err != nil {
		return err
	}
	larger := make([]byte, len(b.tail), size)
	copy(larger, b.tail)
	if cap(b.tail) == maxPartBytes {
		parts.put(b.tail)
	}
	b.tail = larger
	return nil
}

// ReadToEnd reads a body that ends with the connection.
func (b *BodyReader) ReadToEnd() ([]byte, error) {
	defer b.releaseParts()
	for {
		_, err := b.Reader.Peek(1)
		switch {
		case errors.Is(err, io.EOF):
			return b.join()
		case err != nil:
			return nil, err
		case b.length() >= b.MaxBytes:
			return nil, fasthttp.ErrBodyTooLarge
		}
		if err := b.readSome(b.MaxBytes - b.length()); err != nil {
			return nil, err
		}
	}
}

// ReadChunked reads a chunked body up to its last chunk. The trailer is not read.
func (b *BodyReader) ReadChunked() ([]byte, error) {
	defer b.releaseParts()
	for {
		if err := b.readShortChunks(); err != nil {
			return nil, err
		}
		size, err := b.readChunkSize()
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return b.join()
		}
		if size > b.MaxBytes-b.length() {
			return nil, fasthttp.ErrBodyTooLarge
		}
		if err := b.readChunk(size); err != nil {
			return nil, unexpectedEnd(err)
		}
		if err := b.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// readShortChunks reads the chunks that are buffered as a whole, fit into the tail and have no
// extension. Any other chunk is left to ReadChunked, also the last one. A body may have
// millions of chunks of a few bytes, for which the calls of the reader would take most of the
// time.
func (b *BodyReader) readShortChunks() error {
	buffered, err := b.Reader.Peek(b.Reader.Buffered())
	if err != nil {
		return err
	}
	rest := buffered
	for {
		content, length := shortChunk(rest)
		if length == 0 || len(content) > cap(b.tail)-len(b.tail) {
			break
		}
		b.tail = append(b.tail, content...)
		rest = rest[length:]
	}
	_, err = b.Reader.Discard(len(buffered) - len(rest))
	return err
}

// shortChunk returns the content and the encoded length of the chunk at the start of a text.
// The length is 0 if the chunk is not complete, is the last one, has more than
// maxShortChunkDigits digits or an extension, or is not valid.
func shortChunk(text []byte) (content []byte, length int) {
	size, digits := 0, 0
	for digits < len(text) {
		digit, ok := hexDigit(text[digits])
		if !ok {
			break
		}
		size = size*16 + digit
		if digits++; digits > maxShortChunkDigits {
			return nil, 0
		}
	}
	start := digits + len("\r\n")
	end := start + size + len("\r\n")
	if digits == 0 || size == 0 || end > len(text) || !startsWithLineEnd(text[digits:]) || !startsWithLineEnd(text[start+size:]) {
		return nil, 0
	}
	return text[start : start+size], end
}

// startsWithLineEnd reports whether a text of at least two bytes starts with a line end.
func startsWithLineEnd(text []byte) bool { return text[0] == '\r' && text[1] == '\n' }

// length returns the number of bytes of the body that were read.
func (b *BodyReader) length() int { return b.size + len(b.tail) }

// join returns the body in one piece.
func (b *BodyReader) join() ([]byte, error) {
	if len(b.full) == 0 && cap(b.tail) < maxPartBytes {
		return b.tail, nil
	}
	length := b.length()
	if length > maxFreeCopyBytes {
		if err := b.Room.Grow(length); err != nil {
			return nil, err
		}
	}
	body := make([]byte, 0, length)
	for _, part := range b.full {
		body = append(body, part...)
	}
	body = append(body, b.tail...)
	if length > maxFreeCopyBytes {
		return body, b.Room.Grow(-b.size - cap(b.tail))
	}
	return body, nil
}

// releaseParts returns the parts to their pool. A tail of their size was copied or is given
// up.
func (b *BodyReader) releaseParts() {
	for _, part := range append(b.full, b.tail) {
		if cap(part) == maxPartBytes {
			parts.put(part)
		}
	}
	b.full, b.tail = nil, nil
}

// readChunkSize reads the line with the size of a chunk. Extensions are skipped.
func (b *BodyReader) readChunkSize() (int, error) {
	line, err := b.Reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return 0, errChunkLine
	case err != nil:
		return 0, unexpectedEnd(err)
	}
	line, isCRLF := bytes.CutSuffix(line, []byte("\r\n"))
	if !isCRLF || bytes.IndexByte(line, '\r') >= 0 {
		return 0, errChunk
	}
	if extension := bytes.IndexByte(line, ';'); extension >= 0 {
		line = bytes.TrimRight(line[:extension], " \t")
	}
	return parseChunkSize(line)
}

// parseChunkSize parses a hexadecimal number without a sign. Sizes above the range of a
// body are limited to it.
func parseChunkSize(digits []byte) (int, error) {
	if len(digits) == 0 {
		return 0, errChunk
	}
	size := 0
	for _, c := range digits {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, errChunk
		}
		size = min(size*16+digit, math.MaxInt32)
	}
	return size, nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int, ok bool) {
	switch {
	case isDigit(c):
		return int(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	default:
		return 0, false
	}
}

// readChunkEnd reads the line end after the content of a chunk.
func (b *BodyReader) readChunkEnd() error {
	end, err := b.Reader.Peek(len("\r\n"))
	if err != nil {
		return unexpectedEnd(err)
	}
	if string(end) != "\r\n" {
		return errChunk
	}
	_, err = b.Reader.Discard(len(end))
	return err
}

// readChunk reads the content of a chunk.
func (b *BodyReader) readChunk(bytes int) error {
	for bytes > 0 {
		// Memory is allocated only after bytes of the chunk have arrived.
		if _, err := b.Reader.Peek(1); err != nil {
			return err
		}
		before := b.length()
		if err := b.readSome(bytes); err != nil {
			return err
		}
		bytes -= b.length() - before
	}
	return nil
}

// readSome reads at least one and at most a number of bytes, and allocates a part for them
// if the last one is full.
func (b *BodyReader) readSome(bytes int) error {
	if len(b.tail) == cap(b.tail) {
		size := b.nextPart(bytes)
		if err := b.Room.Grow(size); err != nil {
			return err
		}
		if len(b.tail) > 0 {
			b.full = append(b.full, b.tail)
			b.size += len(b.tail)
		}
		b.tail = newPart(size)
	}
	return b.fillTail(bytes)
}

// nextPart returns the size of the next part, of which some bytes are needed at once.
func (b *BodyReader) nextPart(bytes int) int {
	size := min(max(b.length(), firstPartBytes), maxPartBytes, b.MaxBytes-b.length())
	if bytes >= firstPartBytes {
		// The rest of a long chunk; usually nothing follows it.
		size = min(size, bytes)
	}
	return size
}

// fillTail reads at most a number of bytes into the tail.
func (b *BodyReader) fillTail(bytes int) error {
	used := len(b.tail)
	n, err := b.Reader.Read(b.tail[used:min(cap(b.tail), used+bytes)])
	b.tail = b.tail[:used+n]
	return err
}

// unexpectedEnd replaces the end of the stream, which is an error within a body.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SkipTrailer reads the trailer of a chunked body and drops its fields. Names that are not
// tokens are an error.
func SkipTrailer(reader *bufio.Reader) error {
	s := headScanner{reader: reader}
	if err := s.checkFields(); err != nil {
		return err
	}
	_, err := reader.Discard(s.offset)
	return err
}
