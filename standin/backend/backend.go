package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Fault says how requests are answered.
type Fault uint8

const (
	// None answers with 200.
	None Fault = iota
	// Stall runs requests and never answers.
	Stall
	// Shed refuses requests and says so.
	Shed
	// InternalError answers with 500.
	InternalError
	// Truncate ends the connection in the middle of the body.
	Truncate
	// Malformed answers with bytes that are no answer.
	Malformed
	// RepeatedResponse answers twice.
	RepeatedResponse
	// CloseDelimited answers without a length and ends the connection.
	CloseDelimited
	// CloseDelimitedReset resets the connection in such an answer.
	CloseDelimitedReset
	// WrongID answers for another request.
	WrongID
	// Unsigned answers without the signature.
	Unsigned
	// Encoded answers with a content encoding.
	Encoded
)

// ExecutedRequest is a request that the server began to work on.
type ExecutedRequest struct {
	ID       string
	Method   string
	URI      string
	Body     string
	Deadline string
	// ReadAt is when the request was read.
	ReadAt time.Time
}

// Server is the stand-in. Its methods may be called concurrently.
type Server struct {
	id   string
	work time.Duration
	// advertised is the address in the store, which may be that of a link.
	advertised string
	listener   net.Listener
	wg         conc.WaitGroup

	mu    sync.Mutex
	fault Fault
	runs  []ExecutedRequest
	open  map[net.Conn]struct{}
}

// Listen starts a server on a free port of loopback. Each request takes the given
// time.
func Listen(id string, work time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for the server")
	}
	s := &Server{id: id, work: work, advertised: listener.Addr().String(), listener: listener, open: make(map[net.Conn]struct{})}
	s.wg.Go(s.accept)
	return s, nil
}

// ID returns the id of the server.
func (s *Server) ID() string { return s.id }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Advertise sets the address that the entry of the server states, as that of a
// link before it. It must be called before the entry is written.
func (s *Server) Advertise(address string) { s.advertised = address }

// Entry returns what the server writes to the store.
func (s *Server) Entry(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":4,"state":%q,"warmup_left_ms":0,"sequence":1,"born":1}`,
		service, s.advertised, zone, state)
}

// SetFault changes how requests are answered from now on.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ExecutedRequests returns the requests that were run.
func (s *Server) ExecutedRequests() []ExecutedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ExecutedRequest(nil), s.runs...)
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[conn] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			defer s.forget(conn)
			s.serve(conn)
		})
	}
}

func (s *Server) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// serve answers the requests of one connection, one at a time.
func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !s.answer(conn, reader, request, string(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (s *Server) answer(conn net.Conn, reader *bufio.Reader, request *http.Request, body string) bool {
	id := request.Header.Get("Galenaridge-Request-Id")
	if expected := request.Header.Get("Galenaridge-Expected-Instance"); expected != "" && expected != s.id {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\nGalenaridge-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	fault := s.fault
	if fault != Shed {
		s.runs = append(s.runs, ExecutedRequest{
			ID:       id,
			Method:   request.Method,
			URI:      request.URL.RequestURI(),
			Body:     body,
			Deadline: request.Header.Get("Galenaridge-Deadline-Ms"),
			ReadAt:   time.Now(),
		})
	}
	s.mu.Unlock()
	if fault == Shed {
		return write(conn, "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Not-Executed: 1\r\nGalenaridge-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if fault == Stall {
		// Ends when the connection does.
		_, _ = reader.Peek(1)
		return false
	}
	time.Sleep(s.work)
	return s.finish(conn, fault, id, s.id+" "+request.URL.Path)
}

// finish writes the answer of a request that ran.
func (s *Server) finish(conn net.Conn, fault Fault, id, content string) bool {
	head := func(status, id string, fields ...string) string {
		lines := append([]string{"HTTP/1.1 " + status, "Galenaridge-Request-Id: " + id}, fields...)
		return strings.Join(lines, "\r\n") + "\r\n"
	}
	const signature = "Galenaridge-Server-Signature: sig"
	length := fmt.Sprintf("Content-Length: %d", len(content))
	whole := head("200 OK", id, signature, "Galenaridge-Server-Load: 0,0,4", length) + "\r\n" + content
	switch fault {
	case InternalError:
		return write(conn, head("500 Internal Server Error", id, signature, "Content-Length: 4")+"\r\noops")
	case Truncate:
		write(conn, whole[:len(whole)-3])
		return false
	case Malformed:
		write(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case RepeatedResponse:
		return write(conn, whole+whole)
	case CloseDelimited:
		write(conn, head("200 OK", id, signature, "Connection: close")+"\r\n"+content)
		return false
	case CloseDelimitedReset:
		write(conn, head("200 OK", id, signature, "Connection: close")+"\r\n"+content[:3])
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case WrongID:
		return write(conn, head("200 OK", "another", signature, length)+"\r\n"+content)
	case Unsigned:
		return write(conn, head("200 OK", id, length)+"\r\n"+content)
	case Encoded:
		return write(conn, head("200 OK", id, signature, "Content-Encoding: gzip", length)+"\r\n"+content)
	default:
		return write(conn, whole)
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
