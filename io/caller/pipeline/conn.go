package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/io/memory"
)

// conn is a connection from a caller.
type conn struct {
	options Options
	socket  net.Conn
	reader  *bufio.Reader
	body    bodyInput
	cancel  context.CancelFunc
	ctx     context.Context
	queue   chan *pendingResponse

	mu sync.Mutex
	// openRequests is the number of requests whose response is not written yet.
	openRequests int
	// finishedRequests is the number of requests whose response was written or
	// abandoned.
	finishedRequests int
	// ending is set when no further request will be read.
	ending bool
	// receiving is set while a request is read.
	receiving bool
}

// pendingResponse is the response to a request that was read. It is valid when done
// is closed.
type pendingResponse struct {
	done     chan struct{}
	response exchange.Response
	isHead   bool
	// closeAfter is set if the connection ends after this response.
	closeAfter bool
}

// readBuffers is a typed pool of read buffers.
var readBuffers = readBufferPool{}

type readBufferPool struct{ pool sync.Pool }

func (p *readBufferPool) get(r io.Reader) *bufio.Reader {
	if reader, ok := p.pool.Get().(*bufio.Reader); ok {
		reader.Reset(r)
		return reader
	}
	return bufio.NewReaderSize(r, defaultMaxHeaderBytes)
}

func (p *readBufferPool) put(r *bufio.Reader) {
	r.Reset(nil)
	p.pool.Put(r)
}

func newConn(options Options, bodies *memory.Budget, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		options: options,
		socket:  socket,
		body:    bodyInput{socket: socket, clock: options.Clock, memory: bodies},
		ctx:     ctx,
		cancel:  cancel,
		queue:   make(chan *pendingResponse, maxPending),
	}
}

// serve serves the requests of the connection until it ends.
func (c *conn) serve() {
	c.reader = readBuffers.get(&c.body)
	var wg conc.WaitGroup
	wg.Go(c.writeResponses)
	c.readRequests(&wg)
	close(c.queue)
	wg.Wait()
	c.cancel()
	_ = c.socket.Close()
	readBuffers.put(c.reader)
}

// readRequests reads requests and starts a goroutine with the handler for each.
func (c *conn) readRequests(wg *conc.WaitGroup) {
	for {
		if !c.awaitRequest() {
			return
		}
		request, failureResponse := c.readRequest()
		c.endReceiving()
		if failureResponse != nil {
			c.enqueue(failureResponse)
			c.awaitClose()
			return
		}
		p := &pendingResponse{
			done:       make(chan struct{}),
			isHead:     request.Request.Method == fasthttp.MethodHead,
			closeAfter: request.closeAfter,
		}
		if !c.enqueue(p) {
			c.body.memory.GiveBack(request.bodyMemory)
			return
		}
		wg.Go(func() {
			defer c.body.memory.GiveBack(request.bodyMemory)
			defer close(p.done)
			p.response = c.options.Handler.Serve(c.ctx, request.Request)
		})
		if p.closeAfter {
			c.awaitClose()
			return
		}
	}
}

// enqueue adds a response to the queue of the writer. It returns false if the
// connection is ending; the request then counts as not read.
func (c *conn) enqueue(p *pendingResponse) bool {
	if !c.addOpenRequest() {
		c.discardInput()
		return false
	}
	select {
	case c.queue <- p:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// addOpenRequest counts a request as open. It returns false if the connection is
// ending.
func (c *conn) addOpenRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.openRequests++
	return true
}

// discardInput reads and discards what the caller has sent after the last request.
// Closing a connection with unread bytes would reset it, and the caller could lose
// the last response.
func (c *conn) discardInput() {
	_, _ = io.CopyN(io.Discard, c.reader, maxLingerBytes)
}

// awaitRequest waits for the first byte of a request. It returns false if no request
// will be read. If the caller disconnects, it cancels the context of the requests in
// flight.
func (c *conn) awaitRequest() bool {
	for {
		c.setIdleDeadline()
		_, err := c.reader.Peek(1)
		switch {
		case err == nil && !c.beginReceiving():
			c.discardInput()
			return false
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.hasOpenRequests():
			// The idle deadline was set before a request was read; wait again.
		case errors.Is(err, os.ErrDeadlineExceeded):
			return false
		default:
			c.cancel()
			return false
		}
	}
}

// setIdleDeadline bounds the wait for the next request if no request is open, and
// removes the read deadline otherwise.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		return
	}
	if c.openRequests > 0 {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	idle := c.options.Policy.Limits().withDefaults().IdleTimeout
	_ = c.socket.SetReadDeadline(c.options.Clock.Now().Add(idle))
}

// awaitClose waits, after the last request, until the caller disconnects or all
// responses are written. If the caller disconnects, it cancels the context of the
// requests in flight.
func (c *conn) awaitClose() {
	_ = c.socket.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.ending = true
	openRequests := c.openRequests
	c.mu.Unlock()
	if openRequests == 0 {
		return
	}
	// Reads instead of peeking, since bytes after the last request would hide the
	// end of the stream.
	n, err := io.CopyN(io.Discard, c.reader, maxLingerBytes)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || n == maxLingerBytes {
		c.cancel()
	}
}

func (c *conn) hasOpenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests > 0
}

// beginReceiving marks that a request is being read. It returns false if the connection is
// ending, so that no request will be read.
func (c *conn) beginReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = !c.ending
	return c.receiving
}

func (c *conn) endReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// expiredDeadline is a read deadline in the past, which ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

// writeResponses writes the responses in the order of the requests.
func (c *conn) writeResponses() {
	broken := false
	for p := range c.queue {
		<-p.done
		if !broken {
			broken = !c.writeResponse(p)
		}
		if c.finishRequest(p, broken) {
			broken = true
		}
	}
}

// writeResponse writes one response and reports whether the write succeeded.
func (c *conn) writeResponse(p *pendingResponse) bool {
	if c.ctx.Err() != nil {
		return false
	}
	c.markCloseAfter(p)
	_ = c.socket.SetWriteDeadline(c.options.Clock.Now().Add(writeTimeout))
	_, err := c.socket.Write(appendResponse(nil, p, c.options.Policy.Limits().withDefaults().IdleTimeout))
	if err != nil {
		c.cancel()
		return false
	}
	return true
}

// markCloseAfter marks a response as the last of its connection if the instance is
// stopping and no other request is open.
func (c *conn) markCloseAfter(p *pendingResponse) {
	if !c.options.Policy.Stopping() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 1 {
		p.closeAfter = true
		c.ending = true
	}
}

// finishRequest removes a request from the open requests and reports whether the
// connection ends.
func (c *conn) finishRequest(p *pendingResponse, broken bool) bool {
	c.mu.Lock()
	c.openRequests--
	c.finishedRequests++
	openRequests := c.openRequests
	closing := broken || p.closeAfter
	c.ending = c.ending || closing
	c.mu.Unlock()
	if closing {
		c.closeAfterResponse()
		return true
	}
	if openRequests == 0 {
		// The reader has no deadline while requests are open; set it again.
		c.setIdleDeadline()
	}
	return false
}

// closeAfterResponse closes the sending side after a response, and lets the reader
// wait for the end of the stream up to lingerTimeout.
func (c *conn) closeAfterResponse() {
	halfCloser, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil {
		_ = c.socket.SetReadDeadline(expiredDeadline)
		return
	}
	_ = halfCloser.CloseWrite()
	_ = c.socket.SetReadDeadline(c.options.Clock.Now().Add(lingerTimeout))
}

// closeIfIdle ends the connection if it has no open request, reads none, and has served at
// least one.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.openRequests == 0 && !c.receiving && c.finishedRequests > 0
	if idle {
		c.ending = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.socket.SetReadDeadline(expiredDeadline)
	}
}

// abort cancels all requests of the connection and closes it.
func (c *conn) abort() {
	c.cancel()
	_ = c.socket.Close()
}
