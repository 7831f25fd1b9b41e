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

// Fault is the way in which a server responds to requests.
type Fault uint8

const (
	// None responds with status 200.
	None Fault = iota
	// Stall runs requests and never responds.
	Stall
	// Shed responds with status 503 and marks the request as not executed.
	Shed
	// InternalError responds with status 500.
	InternalError
	// OwnUnavailable runs requests and responds with status 503 of the application, which does
	// not mark them as not executed.
	OwnUnavailable
	// Truncate closes the connection in the middle of the body.
	Truncate
	// Malformed sends bytes that are not an HTTP response.
	Malformed
	// RepeatedResponse sends the response twice.
	RepeatedResponse
	// CloseDelimited sends a response without Content-Length, whose body ends when
	// the server closes the connection.
	CloseDelimited
	// CloseDelimitedReset resets the connection in the middle of the body of a
	// response without Content-Length.
	CloseDelimitedReset
	// WrongID sends a response with the id of another request.
	WrongID
	// Unsigned sends a response without a signature.
	Unsigned
	// Encoded sends a response with Content-Encoding.
	Encoded
	// Leaving responds with status 200 and says that the server leaves.
	Leaving
	// Pause responds as Shed does and asks for a pause of PauseTime.
	Pause
	// RefusedAgain sheds the first request of a connection, and sends that refusal once
	// more before the response to each later one, which it runs.
	RefusedAgain
	// RefusedAgainUnnamed is RefusedAgain without the id of the refused request.
	RefusedAgainUnnamed
	// Endless sends bytes without end, which SetEndless sets.
	Endless
	// InvalidStatus sends a response with status 000.
	InvalidStatus
	// InvalidHeaderName sends a response with a space in the name of a header.
	InvalidHeaderName
)

// PauseTime is the pause that Pause asks for.
const PauseTime = 1500 * time.Millisecond

// ExecutedRequest is a request that the server started to run.
type ExecutedRequest struct {
	ID     string
	Method string
	URI    string
	Body   string
	// Deadline is the Galenaridge-Deadline-Ms header, empty if absent.
	Deadline string
	// Header holds all header fields.
	Header http.Header
	// ReadAt is the time at which the whole request had been read.
	ReadAt time.Time
}

// Server is a running simulated server. Its methods are safe for concurrent use,
// except Advertise.
type Server struct {
	id          string
	serviceTime time.Duration
	// advertised is the address in the store entry; it may belong to a link in
	// front of the server.
	advertised string
	listener   net.Listener
	serving    conc.WaitGroup

	mu          sync.Mutex
	fault       Fault
	endless     *EndlessText
	longID      string
	longContent string
	executed    []ExecutedRequest
	arrivals    []time.Time
	connections map[net.Conn]struct{}
}

// Listen starts a server on a free loopback port. Each request takes the given
// service time.
func Listen(id string, serviceTime time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for the server")
	}
	s := &Server{id: id, serviceTime: serviceTime, advertised: listener.Addr().String(), listener: listener, connections: make(map[net.Conn]struct{})}
	s.serving.Go(s.acceptConnections)
	return s, nil
}

// ID returns the id of the server.
func (s *Server) ID() string { return s.id }

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Advertise sets the address in the store entry of the server, for example to that
// of a link in front of it. It must be called before Entry.
func (s *Server) Advertise(address string) { s.advertised = address }

// Entry returns the store entry of the server as JSON.
func (s *Server) Entry(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":4,"state":%q,"warmup_left_ms":0,"sequence":1,"born":1}`,
		service, s.advertised, zone, state)
}

// SetFault changes the fault of all later requests.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// EndlessText is a text that a server sends without end: Start once, and then Repeated
// until the connection is closed.
type EndlessText struct {
	Start    string
	Repeated string
}

// SetEndless makes the server send a text without end as the response to all later
// requests.
func (s *Server) SetEndless(text EndlessText) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.endless = Endless, &text
}

// SetLongResponse makes the content of the responses to all later requests with an id a
// number of bytes long.
func (s *Server) SetLongResponse(id string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longID, s.longContent = id, strings.Repeat("x", bytes)
}

// content returns the content of the response to a request.
func (s *Server) content(id, path string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.longContent != "" && id == s.longID {
		return s.longContent
	}
	return s.id + " " + path
}

// endlessText returns the text to send without end, or nil.
func (s *Server) endlessText() *EndlessText {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != Endless {
		return nil
	}
	return s.endless
}

// writeEndlessly writes until the connection breaks.
func writeEndlessly(conn net.Conn, text *EndlessText) bool {
	block := strings.Repeat(text.Repeated, max(1, (16<<10)/len(text.Repeated)))
	for ok := writeText(conn, text.Start); ok; {
		ok = writeText(conn, block)
	}
	return false
}

// ExecutedRequests returns the requests that started to run, in their order.
func (s *Server) ExecutedRequests() []ExecutedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ExecutedRequest(nil), s.executed...)
}

// Arrivals returns the times at which requests arrived, executed or not.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// Close closes the listener and all connections and waits until serving has ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *Server) acceptConnections() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections[conn] = struct{}{}
		s.mu.Unlock()
		s.serving.Go(func() {
			defer s.closeConnection(conn)
			s.serveConnection(conn)
		})
	}
}

func (s *Server) closeConnection(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

// serveConnection handles the requests of one connection, one at a time.
func (s *Server) serveConnection(conn net.Conn) {
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if again, refuses := s.refuseAgain(request, refusal); refuses {
			if !writeText(conn, again) {
				return
			}
			if refusal == "" {
				refusal = again
				continue
			}
		}
		if !s.serveRequest(conn, reader, request, string(body)) {
			return
		}
	}
}

// refuseAgain returns the refusal that a request gets first if the fault is RefusedAgain:
// the earlier one of the connection, or its own.
func (s *Server) refuseAgain(request *http.Request, earlier string) (string, bool) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != RefusedAgain && fault != RefusedAgainUnnamed {
		return "", false
	}
	if earlier != "" {
		return earlier, true
	}
	name := "Galenaridge-Request-Id: " + request.Header.Get("Galenaridge-Request-Id") + "\r\n"
	if fault == RefusedAgainUnnamed {
		name = ""
	}
	return "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Not-Executed: 1\r\n" + name + "Content-Length: 0\r\n\r\n", true
}

// serveRequest handles one request and reports whether the connection stays open.
func (s *Server) serveRequest(conn net.Conn, reader *bufio.Reader, request *http.Request, body string) bool {
	if text := s.endlessText(); text != nil {
		return writeEndlessly(conn, text)
	}
	requestID := request.Header.Get("Galenaridge-Request-Id")
	if expected := request.Header.Get("Galenaridge-Expected-Instance"); expected != "" && expected != s.id {
		return writeText(conn, "HTTP/1.1 421 Misdirected Request\r\nGalenaridge-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	fault := s.fault
	s.arrivals = append(s.arrivals, time.Now())
	if fault != Shed && fault != Pause {
		s.executed = append(s.executed, ExecutedRequest{
			ID:       requestID,
			Method:   request.Method,
			URI:      request.URL.RequestURI(),
			Body:     body,
			Deadline: request.Header.Get("Galenaridge-Deadline-Ms"),
			Header:   request.Header,
			ReadAt:   time.Now(),
		})
	}
	s.mu.Unlock()
	if fault == Shed {
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Not-Executed: 1\r\nGalenaridge-Request-Id: "+requestID+"\r\nContent-Length: 0\r\n\r\n")
	}
	if fault == Pause {
		return writeText(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Not-Executed: 1\r\nRetry-After: %.1f\r\nGalenaridge-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", PauseTime.Seconds(), requestID))
	}
	if fault == Stall {
		// Peek blocks until the client closes the connection.
		_, _ = reader.Peek(1)
		return false
	}
	time.Sleep(s.serviceTime)
	return s.writeResponse(conn, fault, requestID, s.content(requestID, request.URL.Path))
}

// writeResponse writes the response to a request that ran, as the fault requires. It
// reports whether the connection stays open.
func (s *Server) writeResponse(conn net.Conn, fault Fault, id, content string) bool {
	formatHead := func(status, id string, fields ...string) string {
		lines := append([]string{"HTTP/1.1 " + status, "Galenaridge-Request-Id: " + id}, fields...)
		return strings.Join(lines, "\r\n") + "\r\n"
	}
	const signature = "Galenaridge-Server-Signature: sig"
	length := fmt.Sprintf("Content-Length: %d", len(content))
	response := formatHead("200 OK", id, signature, "Galenaridge-Server-Load: 0,0,4", length) + "\r\n" + content
	switch fault {
	case InternalError:
		return writeText(conn, formatHead("500 Internal Server Error", id, signature, "Content-Length: 4")+"\r\noops")
	case OwnUnavailable:
		return writeText(conn, formatHead("503 Service Unavailable", id, signature, "Retry-After: 0.1", "Content-Length: 4")+"\r\noops")
	case Truncate:
		writeText(conn, response[:len(response)-3])
		return false
	case Malformed:
		writeText(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case RepeatedResponse:
		return writeText(conn, response+response)
	case CloseDelimited:
		writeText(conn, formatHead("200 OK", id, signature, "Connection: close")+"\r\n"+content)
		return false
	case CloseDelimitedReset:
		writeText(conn, formatHead("200 OK", id, signature, "Connection: close")+"\r\n"+content[:3])
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case WrongID:
		return writeText(conn, formatHead("200 OK", "another", signature, length)+"\r\n"+content)
	case Unsigned:
		return writeText(conn, formatHead("200 OK", id, length)+"\r\n"+content)
	case Leaving:
		return writeText(conn, formatHead("200 OK", id, signature, "Server-Leaving: 1", length)+"\r\n"+content)
	case Encoded:
		return writeText(conn, formatHead("200 OK", id, signature, "Content-Encoding: gzip", length)+"\r\n"+content)
	case InvalidStatus:
		return writeText(conn, formatHead("000 OK", id, signature, length)+"\r\n"+content)
	case InvalidHeaderName:
		return writeText(conn, formatHead("200 OK", id, signature, "Cache Control: no-store", length)+"\r\n"+content)
	default:
		return writeText(conn, response)
	}
}

// writeText reports whether the text was written.
func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
