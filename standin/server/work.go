package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"galenaridge/core/fleet"
)

// Headers of requests to the server and of its responses.
const (
	HeaderDeadline   = "Upstream-Deadline"
	HeaderKey        = "Upstream-Key"
	HeaderLoad       = "Upstream-Load"
	HeaderDraining   = "Upstream-Draining"
	HeaderCaller     = "X-Caller"
	HeaderBodySize   = "X-Body-Size"
	HeaderBodyDigest = "X-Body-Digest"
	HeaderServer     = "X-Server"
)

const (
	// healthProbeDuration is the time that the server takes for a health probe.
	healthProbeDuration = 25 * time.Millisecond
	// maxBodyBytes is the maximum size of a request body and the maximum
	// response size in HeaderBodySize.
	maxBodyBytes = 8 << 20
)

// ResponseBody is the JSON body of a successful response to a request without
// HeaderBodySize.
type ResponseBody struct {
	Server  fleet.ServerID    `json:"server"`
	Service fleet.ServiceName `json:"service"`
	Caller  string            `json:"caller"`
	Method  string            `json:"method"`
	URI     string            `json:"uri"`
	Key     fleet.Key         `json:"key,omitempty"`
	// ReceivedBytes is the size of the request body in bytes.
	ReceivedBytes int64 `json:"received"`
}

// serveHealth responds to a health probe. A probe takes no slot and is not
// counted as a request; of all faults only FaultRefuse affects it.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !s.wait(r.Context(), healthProbeDuration) {
		return
	}
	s.setCommonHeaders(w)
	w.WriteHeader(http.StatusOK)
}

// serveRequest runs one request. Requests that are invalid, expired or shed get
// an error without running.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	// The whole body is read first, since only after that does net/http cancel
	// the context of a request whose connection is lost.
	receivedBytes, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.writeError(w, http.StatusBadRequest, "body")
		return
	}
	requestedSize, err := requestedBodySize(r)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel, err := s.requestContext(r)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.counters.countExpired()
		s.writeError(w, http.StatusGatewayTimeout, "deadline passed before the start")
		return
	}
	now := s.clock.Now()
	key := fleet.Key(r.Header.Get(HeaderKey))
	startNumber, ok := s.counters.startRequest(now, key)
	if !ok {
		s.writeError(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	fault := s.faults.nextFault(now)
	if !s.spendServiceTime(ctx, startNumber, fault) {
		s.counters.finishRequest(s.clock.Now(), aborted)
		s.writeError(w, http.StatusGatewayTimeout, "aborted")
		return
	}
	if fault.Kind == FaultFail {
		s.counters.finishRequest(s.clock.Now(), failed)
		s.writeError(w, http.StatusInternalServerError, "fault")
		return
	}
	body := s.responseBody(r, requestedSize, receivedBytes)
	if fault.Kind == FaultTruncate {
		s.counters.finishRequest(s.clock.Now(), failed)
		s.writeTruncated(w, r, body)
		return
	}
	s.counters.finishRequest(s.clock.Now(), finished)
	s.writeResponse(w, r, body, requestedSize)
}

// requestContext returns a context that ends at the deadline of the request or
// when the client closes the connection.
func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	unixMillis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, errInvalidDeadline
	}
	timeLeft := time.UnixMilli(unixMillis).Sub(s.clock.Now())
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft)
	return ctx, cancel, nil
}

// spendServiceTime waits for the service time of a request and reports whether it
// elapsed before the context ended. With FaultStall it never does.
func (s *Server) spendServiceTime(ctx context.Context, startNumber int, fault Fault) bool {
	if fault.Kind == FaultStall {
		<-ctx.Done()
		return false
	}
	duration := s.times.serviceTime(startNumber)
	if fault.Kind == FaultSlow {
		duration = time.Duration(float64(duration) * fault.Factor)
	}
	return s.wait(ctx, duration)
}

// wait waits for the duration and reports whether it elapsed before the context
// ended.
func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// responseBody returns the body of a successful response: a ResponseBody as JSON,
// or the requested number of bytes filled with repetitions of the caller's name.
func (s *Server) responseBody(r *http.Request, requestedSize int, receivedBytes int64) []byte {
	caller := r.Header.Get(HeaderCaller)
	if requestedSize >= 0 {
		return repeatToSize(caller+"\n", requestedSize)
	}
	body, err := json.Marshal(ResponseBody{
		Server:        s.options.ID,
		Service:       s.options.Service,
		Caller:        caller,
		Method:        r.Method,
		URI:           r.RequestURI,
		Key:           fleet.Key(r.Header.Get(HeaderKey)),
		ReceivedBytes: receivedBytes,
	})
	if err != nil {
		return nil
	}
	return body
}

// repeatToSize repeats unit up to the given size in bytes; the last repetition may
// be cut off.
func repeatToSize(unit string, size int) []byte {
	body := make([]byte, size)
	for i := 0; i < size; i += len(unit) {
		copy(body[i:], unit)
	}
	return body
}

// Digest returns the SHA-256 digest of a body in lower-case hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// writeResponse writes a complete successful response.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, requestedSize int) {
	s.setResponseHeaders(w, r, body)
	if requestedSize < 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	_, _ = w.Write(body)
}

// writeTruncated writes the headers and half of the body of a response and closes
// the connection.
func (s *Server) writeTruncated(w http.ResponseWriter, r *http.Request, body []byte) {
	s.setResponseHeaders(w, r, body)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// setResponseHeaders sets the headers of a successful response.
func (s *Server) setResponseHeaders(w http.ResponseWriter, r *http.Request, body []byte) {
	s.setCommonHeaders(w)
	w.Header().Set(HeaderCaller, r.Header.Get(HeaderCaller))
	w.Header().Set(HeaderBodyDigest, Digest(body))
	w.Header().Set(HeaderServer, string(s.options.ID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
}

// setCommonHeaders sets the headers of every response.
func (s *Server) setCommonHeaders(w http.ResponseWriter) {
	w.Header().Set(HeaderLoad, strconv.Itoa(s.faults.reportedLoad(s.counters.requestsInFlight())))
	if s.counters.isDraining() {
		w.Header().Set(HeaderDraining, "1")
	}
}

// writeError writes an error response with the reason as its text.
func (s *Server) writeError(w http.ResponseWriter, status int, reason string) {
	s.setCommonHeaders(w)
	http.Error(w, reason, status)
}

// requestedBodySize returns the response size in bytes that the request sets in
// HeaderBodySize, or -1 if the header is absent.
func requestedBodySize(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderBodySize)
	if text == "" {
		return -1, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > maxBodyBytes {
		return 0, errInvalidSize
	}
	return size, nil
}
