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

// Headers of requests to the server and of its answers.
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
	// probeTime is what a health probe costs.
	probeTime = 25 * time.Millisecond
	// maxBodyBytes bounds request bodies and the bodies asked for.
	maxBodyBytes = 8 << 20
)

// ResponseBody is the JSON body of a finished request that asked for no size.
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

// health answers a probe. It is not work and no fault but refusal meets it.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if !s.sleep(r.Context(), probeTime) {
		return
	}
	s.stamp(w)
	w.WriteHeader(http.StatusOK)
}

// work runs one request.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	// The body is read whole first, since net/http reports the loss of the
	// connection only after that.
	received, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "body")
		return
	}
	size, err := bodySize(r)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel, err := s.workContext(r)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.ledger.expire()
		s.refuse(w, http.StatusGatewayTimeout, "deadline passed before the start")
		return
	}
	now := s.clock.Now()
	key := fleet.Key(r.Header.Get(HeaderKey))
	number, ok := s.ledger.begin(now, key)
	if !ok {
		s.refuse(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	fault := s.faults.draw(now)
	if !s.perform(ctx, number, fault) {
		s.ledger.end(s.clock.Now(), aborted)
		s.refuse(w, http.StatusGatewayTimeout, "aborted")
		return
	}
	if fault.Kind == FaultFail {
		s.ledger.end(s.clock.Now(), failed)
		s.refuse(w, http.StatusInternalServerError, "fault")
		return
	}
	body := s.body(r, size, received)
	if fault.Kind == FaultTruncate {
		s.ledger.end(s.clock.Now(), failed)
		s.truncate(w, r, body)
		return
	}
	s.ledger.end(s.clock.Now(), finished)
	s.answer(w, r, body, size)
}

// workContext returns a context that ends when the client leaves and at the
// deadline of the request.
func (s *Server) workContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, errBadDeadline
	}
	left := time.UnixMilli(ms).Sub(s.clock.Now())
	ctx, cancel := context.WithTimeout(r.Context(), left)
	return ctx, cancel, nil
}

// perform takes the service time and reports whether the work came to its end.
func (s *Server) perform(ctx context.Context, number int, fault Fault) bool {
	if fault.Kind == FaultStall {
		<-ctx.Done()
		return false
	}
	took := s.times.draw(number)
	if fault.Kind == FaultSlow {
		took = time.Duration(float64(took) * fault.Factor)
	}
	return s.sleep(ctx, took)
}

// sleep waits and reports whether the whole time passed.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// body returns the body of a finished request: JSON, or the asked number of
// bytes made of repetitions of the caller's name.
func (s *Server) body(r *http.Request, size int, received int64) []byte {
	caller := r.Header.Get(HeaderCaller)
	if size >= 0 {
		return fill(caller+"\n", size)
	}
	body, err := json.Marshal(ResponseBody{
		Server:        s.options.ID,
		Service:       s.options.Service,
		Caller:        caller,
		Method:        r.Method,
		URI:           r.RequestURI,
		Key:           fleet.Key(r.Header.Get(HeaderKey)),
		ReceivedBytes: received,
	})
	if err != nil {
		return nil
	}
	return body
}

// fill returns size bytes of repetitions of unit.
func fill(unit string, size int) []byte {
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

// answer writes a whole response.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, size int) {
	s.describe(w, r, body)
	if size < 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	_, _ = w.Write(body)
}

// truncate writes half of a response and closes the connection.
func (s *Server) truncate(w http.ResponseWriter, r *http.Request, body []byte) {
	s.describe(w, r, body)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// describe sets the headers of a finished request.
func (s *Server) describe(w http.ResponseWriter, r *http.Request, body []byte) {
	s.stamp(w)
	w.Header().Set(HeaderCaller, r.Header.Get(HeaderCaller))
	w.Header().Set(HeaderBodyDigest, Digest(body))
	w.Header().Set(HeaderServer, string(s.options.ID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
}

// stamp sets the headers that every answer carries.
func (s *Server) stamp(w http.ResponseWriter) {
	w.Header().Set(HeaderLoad, strconv.Itoa(s.faults.reportedLoad(s.ledger.load())))
	if s.ledger.draining() {
		w.Header().Set(HeaderDraining, "1")
	}
}

// refuse answers a request that did not finish.
func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	s.stamp(w)
	http.Error(w, reason, status)
}

// bodySize returns the body size asked for in bytes, or -1 if none is.
func bodySize(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderBodySize)
	if text == "" {
		return -1, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > maxBodyBytes {
		return 0, errBadSize
	}
	return size, nil
}
