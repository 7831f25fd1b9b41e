package upstream_test

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/backend"
)

const endlessHead = "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: r1\r\nGalenaridge-Server-Signature: sig\r\n"

// endlessTexts are responses that have no end in one of their parts.
var endlessTexts = []struct {
	name string
	text backend.EndlessText
}{
	{"bytes that are no response", backend.EndlessText{Repeated: "\x00\x01garbage"}},
	{"empty lines", backend.EndlessText{Repeated: "\r\n"}},
	{"a status line", backend.EndlessText{Start: "HTTP/1.1 200 ", Repeated: "OK"}},
	{"interim responses", backend.EndlessText{Repeated: "HTTP/1.1 100 Continue\r\n\r\n"}},
	{"header lines", backend.EndlessText{Start: endlessHead, Repeated: "X-More: 1\r\n"}},
	{"a header line", backend.EndlessText{Start: endlessHead + "X-More: ", Repeated: "1"}},
	{"a body until the end of the connection", backend.EndlessText{Start: endlessHead + "Connection: close\r\n\r\n", Repeated: "body"}},
	{"chunks", backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "4\r\nbody\r\n"}},
	{"a chunk size", backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "0"}},
	{"a chunk extension", backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n4;", Repeated: "x"}},
	{"a trailer", backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated: "X-More: 1\r\n"}},
	{"a body of another request", backend.EndlessText{Start: "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: r0\r\nGalenaridge-Server-Signature: sig\r\n\r\n", Repeated: "body"}},
	{"a body without a signature", backend.EndlessText{Start: "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: r1\r\n\r\n", Repeated: "body"}},
}

// TestPoolEndlessResponses guards against a response without end that occupies an attempt
// until its deadline.
func TestPoolEndlessResponses(t *testing.T) {
	for _, test := range endlessTexts {
		t.Run(test.name, func(t *testing.T) {
			s, entry := newBackend(t, "i-1")
			s.SetEndless(test.text)
			p := newPool(t)
			attempt := newAttempt(entry, "r1", "")
			attempt.Deadline = time.Now().Add(20 * time.Second)
			started := time.Now()
			response, evidence := p.Send(context.Background(), attempt)
			require.Less(t, time.Since(started), 5*time.Second)
			require.False(t, evidence.Complete)
			require.True(t, evidence.Written)
			require.Equal(t, fleet.Unknown, response.Outcome)
			s.SetFault(backend.None)
			_, evidence = p.Send(context.Background(), newAttempt(entry, "r2", ""))
			require.True(t, evidence.Complete, "%v", evidence.Err)
		})
	}
}

// TestPoolEndlessMemory guards against several responses without end that together exhaust
// the memory of a small machine, and the requests of other callers with it.
func TestPoolEndlessMemory(t *testing.T) {
	// The smallest machine has 184 MB, of which 60 MB are in use without load.
	const limit = (184 - 60) * 1_000_000
	tests := []struct {
		name     string
		attempts int
		text     backend.EndlessText
	}{
		{"bodies", 24, backend.EndlessText{Start: endlessHead + "Connection: close\r\n\r\n", Repeated: "body"}},
		{"many bodies", 300, backend.EndlessText{Start: endlessHead + "Connection: close\r\n\r\n", Repeated: "body"}},
		{"bytes that are no response", 300, backend.EndlessText{Repeated: "\x00\x01garbage"}},
		{"header lines", 300, backend.EndlessText{Start: endlessHead, Repeated: "X-More: 1\r\n"}},
		{"a header line", 300, backend.EndlessText{Start: endlessHead + "X-More: ", Repeated: "1"}},
		{"interim responses", 300, backend.EndlessText{Repeated: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"a chunk extension", 300, backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n4;", Repeated: "x"}},
		{"a trailer", 300, backend.EndlessText{Start: endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated: "X-More: 1\r\n"}},
	}
	// The program sets a soft limit, which the garbage of large buffers respects.
	previous := debug.SetMemoryLimit(limit / 4 * 3)
	t.Cleanup(func() { debug.SetMemoryLimit(previous) })
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, entry := newBackend(t, "i-1")
			s.SetEndless(test.text)
			p := newPool(t)
			done := make(chan struct{})
			var running sync.WaitGroup
			for range test.attempts {
				running.Add(1)
				go func() {
					defer running.Done()
					attempt := newAttempt(entry, "r1", "")
					attempt.Deadline = time.Now().Add(20 * time.Second)
					response, evidence := p.Send(context.Background(), attempt)
					if evidence.Complete || evidence.Written && response.Outcome != fleet.Unknown {
						t.Errorf("a response without end was returned: %v", response.Status)
					}
				}()
			}
			go func() {
				running.Wait()
				close(done)
			}()
			var usage runtime.MemStats
			for {
				runtime.ReadMemStats(&usage)
				require.Less(t, usage.HeapAlloc, uint64(limit))
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}
