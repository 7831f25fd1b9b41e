package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/io/caller/pipeline"
	"galenaridge/platform"
)

// uploadPolicy permits bodies of 400 kB.
type uploadPolicy struct{ policy }

func (p *uploadPolicy) Limits() pipeline.Limits {
	return pipeline.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 400_000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
}

// heldHandler holds requests until it is released.
type heldHandler struct{ release chan struct{} }

func (h heldHandler) Serve(ctx context.Context, request exchange.Request) exchange.Response {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return exchange.Response{Status: 200, Body: fmt.Append(nil, len(request.Body))}
}

// serveUploads starts a server with memory for a number of bytes of bodies.
func serveUploads(t testing.TB, bodyMemory int) (*pipeline.Server, heldHandler, string) {
	t.Helper()
	h := heldHandler{release: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := pipeline.New(pipeline.Options{
		Clock: clockwork.NewRealClock(), Handler: h, HeaderParser: platform.CallerHeaderParser{},
		Policy: &uploadPolicy{}, Log: log, BodyMemory: bodyMemory,
	})
	return s, h, listen(t, s)
}

// uploadHead returns the header of an upload. A negative length means chunks.
func uploadHead(length, deadlineMS int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST /upload/ HTTP/1.1\r\nHost: h\r\nGalenaridge-Request-Id: r\r\nGalenaridge-Deadline-Ms: %d\r\n%s\r\n\r\n", deadlineMS, framing)
}

func connect(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// receivedResponse is a response that was read whole.
type receivedResponse struct {
	status     int
	retryAfter string
	closes     bool
	body       string
}

func receive(t testing.TB, conn net.Conn) receivedResponse {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return receivedResponse{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), closes: response.Close, body: string(body)}
}

// TestUploadMemory guards against uploads that together need more memory than the process
// has: those that do not fit are refused at once, before their body is sent, and the others
// are served.
func TestUploadMemory(t *testing.T) {
	const size = 100_000
	tests := []struct {
		name string
		// length is the stated length, and sent what is sent of the body.
		length int
		sent   string
	}{
		{"with a length, nothing sent yet", size, ""},
		{"with a length, half of it sent", size, strings.Repeat("x", size/2)},
		{"in chunks", -1, fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, h, address := serveUploads(t, 3*size+size/2)
			var accepted []net.Conn
			for i := range 3 {
				conn := connect(t, address)
				send(t, conn, uploadHead(test.length, 9000)+test.sent)
				accepted = append(accepted, conn)
				require.Eventually(t, func() bool { return s.BodyBytes() >= (i+1)*size }, 2*time.Second, time.Millisecond)
			}
			refused := connect(t, address)
			send(t, refused, uploadHead(test.length, 9000)+test.sent)
			started := time.Now()
			refusal := receive(t, refused)
			require.Less(t, time.Since(started), time.Second)
			require.Equal(t, 503, refusal.status, refusal.body)
			require.Contains(t, refusal.body, "not-run")
			require.NotEmpty(t, refusal.retryAfter)
			require.True(t, refusal.closes)
			close(h.release)
			for _, conn := range accepted {
				rest := "0\r\n\r\n"
				if test.length >= 0 {
					rest = strings.Repeat("x", size-len(test.sent))
				}
				send(t, conn, rest)
				served := receive(t, conn)
				require.Equal(t, 200, served.status)
				require.Equal(t, fmt.Sprint(size), served.body)
			}
			require.Eventually(t, func() bool { return s.BodyBytes() == 0 }, time.Second, time.Millisecond, "memory is given back")
		})
	}
}

// TestUploadsThatEnd guards against memory that stays taken, or is held for long, because the
// caller of a body stalls, leaves or breaks the protocol.
func TestUploadsThatEnd(t *testing.T) {
	tests := []struct {
		name   string
		head   string
		sent   string
		leaves bool
		status int
	}{
		{"stalls until its deadline", uploadHead(100_000, 300), "x", false, 408},
		{"stalls in a chunk", uploadHead(-1, 300), "ffff\r\nxx", false, 408},
		{"leaves", uploadHead(100_000, 9000), "x", true, 0},
		{"leaves in a chunk", uploadHead(-1, 9000), "ffff\r\nxx", true, 0},
		{"sends a chunk that is not valid", uploadHead(-1, 9000), "5\r\nhello\r\nzz\r\n", false, 400},
		{"sends more than the limit", uploadHead(-1, 9000), "61a81\r\n" + strings.Repeat("x", 400_001), false, 413},
		{"states more than the limit", uploadHead(400_001, 9000), "", false, 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, _, address := serveUploads(t, 500_000)
			conn := connect(t, address)
			send(t, conn, test.head+test.sent)
			if test.leaves {
				require.Eventually(t, func() bool { return s.BodyBytes() > 0 }, time.Second, time.Millisecond)
				require.NoError(t, conn.Close())
			} else {
				received := receive(t, conn)
				require.Equal(t, test.status, received.status, received.body)
			}
			require.Eventually(t, func() bool { return s.BodyBytes() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// TestUploadDuringStop guards against a planned stop that closes a kept connection while the
// body of a request is on its way.
func TestUploadDuringStop(t *testing.T) {
	const size = 50_000
	s, h, address := serveUploads(t, 1<<20)
	close(h.release)
	conn := connect(t, address)
	for range 2 {
		send(t, conn, uploadHead(size, 9000)+strings.Repeat("x", size/2))
		require.Eventually(t, func() bool { return s.BodyBytes() == size }, time.Second, time.Millisecond)
		s.CloseIdleConnections()
		time.Sleep(20 * time.Millisecond)
		send(t, conn, strings.Repeat("x", size/2))
		require.Equal(t, fmt.Sprint(size), receive(t, conn).body)
	}
}

// BenchmarkUploads measures the memory of 200 uploads of 60 kB in progress.
func BenchmarkUploads(b *testing.B) {
	const uploads, size = 200, 60_000
	body := strings.Repeat("x", size)
	for b.Loop() {
		s, h, address := serveUploads(b, uploads*size)
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, uploads)
		for i := range conns {
			conns[i] = connect(b, address)
			send(b, conns[i], uploadHead(size, 9000)+body)
		}
		require.Eventually(b, func() bool { return s.BodyBytes() == uploads*size }, 5*time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/uploads, "heap-B/upload")
		close(h.release)
		for _, conn := range conns {
			receive(b, conn)
			_ = conn.Close()
		}
	}
}
