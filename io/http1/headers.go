package http1

import (
	"iter"
	"sync"

	"galenaridge/core/exchange"
)

// scratch holds the text of headers while they are collected.
type scratch struct {
	text []byte
	// ends holds the end of each name and of each value in text.
	ends []int
}

// keptScratch is the largest text in bytes that is kept for reuse.
const keptScratch = 64 << 10

// scratches is a typed pool of scratch.
var scratches = scratchPool{}

type scratchPool struct{ pool sync.Pool }

func (p *scratchPool) get() *scratch {
	if s, ok := p.pool.Get().(*scratch); ok {
		return s
	}
	return &scratch{}
}

func (p *scratchPool) put(s *scratch) {
	if cap(s.text) <= keptScratch {
		s.text, s.ends = s.text[:0], s.ends[:0]
		p.pool.Put(s)
	}
}

// CopyHeaders copies the headers that keep accepts. All names and values share
// one string, since two strings for each header were a quarter of what a
// request allocated.
func CopyHeaders(all iter.Seq2[[]byte, []byte], keep func(name []byte) bool) []exchange.Header {
	s := scratches.get()
	defer scratches.put(s)
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
	begin := 0
	for i := 0; i < len(s.ends); i += 2 {
		middle, end := s.ends[i], s.ends[i+1]
		headers = append(headers, exchange.Header{Name: text[begin:middle], Value: text[middle:end]})
		begin = end
	}
	return headers
}

// NameBuffer is the buffer of Lower. No name that is looked up is as long.
type NameBuffer [32]byte

// ToLower writes a header name in lower case to the buffer, as much as fits, and
// returns it. strings.ToLower would allocate for each canonical name.
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
