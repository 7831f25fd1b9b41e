package http1

import (
	"iter"
	"sync"

	"galenaridge/core/exchange"
)

// headerBuffer collects names and values of headers before they are copied into one
// string.
type headerBuffer struct {
	text []byte
	// ends holds the end offsets in text of the names and values, in turn.
	ends []int
}

// maxKeptBufferBytes is the size of the largest text that is kept for reuse.
const maxKeptBufferBytes = 64 << 10

// headerBuffers is a typed pool of header buffers.
var headerBuffers = headerBufferPool{}

type headerBufferPool struct{ pool sync.Pool }

func (p *headerBufferPool) get() *headerBuffer {
	if s, ok := p.pool.Get().(*headerBuffer); ok {
		return s
	}
	return &headerBuffer{}
}

func (p *headerBufferPool) put(s *headerBuffer) {
	if cap(s.text) <= maxKeptBufferBytes {
		s.text, s.ends = s.text[:0], s.ends[:0]
		p.pool.Put(s)
	}
}

// CopyHeaders copies the headers for which keep returns true. All names and values
// share one string, since two strings for each header made up a quarter of the
// allocations of a request.
func CopyHeaders(all iter.Seq2[[]byte, []byte], keep func(name []byte) bool) []exchange.Header {
	s := headerBuffers.get()
	defer headerBuffers.put(s)
	for name, value := range all {
		if !keep(name) {
			continue
		}
		s.text = append(s.text, name...)
		s.ends = append(s.ends, len(s.text))
		s.text = append(s.text, value...)
		s.ends = append(s.ends, len(s.text))
	}
	if len(s.ends) == 0 {
		return nil
	}
	text := string(s.text)
	headers := make([]exchange.Header, 0, len(s.ends)/2)
	start := 0
	for i := 0; i < len(s.ends); i += 2 {
		middle, end := s.ends[i], s.ends[i+1]
		headers = append(headers, exchange.Header{Name: text[start:middle], Value: text[middle:end]})
		start = end
	}
	return headers
}

// NameBuffer is the buffer of ToLower. All names that are compared with its result are
// shorter.
type NameBuffer [32]byte

// ToLower writes a header name in lower case to the buffer and returns that part of
// the buffer. A name that does not fit is truncated. strings.ToLower would allocate for
// each canonical name.
func ToLower[T string | []byte](buffer *NameBuffer, name T) []byte {
	n := min(len(name), len(buffer))
	for i := range n {
		c := name[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer[i] = c
	}
	return buffer[:n]
}
