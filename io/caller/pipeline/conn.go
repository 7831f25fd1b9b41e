package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
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
	// reader is nil while no request is read: the buffer of a connection that waits for its
	// next request is released.
	reader *bufio.Reader
	input  input
	cancel context.CancelFunc
	ctx    context.Context
	queue  chan *pendingResponse
	// isRefused is set if the connection gets a refusal and is closed, because there are
	// too many connections.
	isRefused bool
	// firstBytes receives the first bytes of a request.
	firstBytes [1 << 10]byte

	// self and buffer are what the connection and its read buffer take of the memory, and
	// reading is what the body takes that is read; nil if none is.
	self, buffer memory.Holding
	reading      atomic.Pointer[memory.Holding]
	// pendingBytes is the size of the requests in progress and the responses that wait
	// until the caller has read them.
	pendingBytes atomic.Int64
	// writing is the progress of a large response.
	writing transfer
	// written receives a value after a response was written.
	written chan struct{}

	mu sync.Mutex
	// openRequests is the number of requests whose response is not written yet.
	openRequests int
	// finishedRequests is the number of requests whose response was written or
	// abandoned.
	finishedRequests int
	// waitingSince is when the connection began to wait for a request.
	waitingSince time.Time
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
	// holding is what the header of the request and the response take of the memory.
	holding memory.Holding
	isHead  bool
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

func newConn(options Options, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		options:      options,
		socket:       socket,
		input:        input{socket: socket, clock: options.Clock, rate: options.MinRate},
		ctx:          ctx,
		cancel:       cancel,
		queue:        make(chan *pendingResponse, maxPending),
		written:      make(chan struct{}, 1),
		waitingSince: options.Clock.Now(),
	}
	c.self.Init(options.Memory, memory.Connections)
	c.buffer.Init(options.Memory, memory.ReadBuffers)
	return c
}

// serve serves the requests of the connection until it ends.
func (c *conn) serve() {
	var wg conc.WaitGroup
	wg.Go(c.writeResponses)
	c.readRequests(&wg)
	close(c.queue)
	wg.Wait()
	c.cancel()
	_ = c.socket.Close()
	c.releaseReader()
}

// readRequests reads requests and starts a goroutine with the handler for each.
func (c *conn) readRequests(wg *conc.WaitGroup) {
	for {
		if !c.awaitPending() || !c.awaitRequest() {
			return
		}
		request, failureResponse := c.admitRequest()
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
		p.holding.Init(c.options.Memory, memory.Pending)
		if !c.enqueue(p) {
			request.release()
			return
		}
		c.hold(p, requestBytes+request.headBytes)
		wg.Go(func() {
			defer close(p.done)
			defer request.release()
			p.response = c.options.Handler.Serve(c.ctx, request.Request)
			c.hold(p, len(p.response.Body))
		})
		if p.closeAfter {
			c.awaitClose()
			return
		}
	}
}

// admitRequest reads one whole request if there is room for it.
func (c *conn) admitRequest() (parsedRequest, *pendingResponse) {
	switch {
	case c.isRefused:
		return parsedRequest{}, refuseForNow("there are too many connections")
	case !c.acquireReader():
		return parsedRequest{}, refuseForNow(errMemory.Error())
	default:
		return c.readRequest()
	}
}

// hold counts bytes that a request in progress or its response takes.
func (c *conn) hold(p *pendingResponse, bytes int) {
	c.pendingBytes.Add(int64(bytes))
	p.holding.Add(bytes)
}

// releasePending gives the memory of a response back that was written or abandoned.
func (c *conn) releasePending(p *pendingResponse) {
	bytes := p.holding.Bytes()
	if bytes == 0 {
		return
	}
	p.response.Body = nil
	p.holding.Release()
	c.pendingBytes.Add(-int64(bytes))
	select {
	case c.written <- struct{}{}:
	default:
		// The reader of the connection has not seen an earlier one yet.
	}
}

// awaitPending waits while the responses that wait for the caller are too large to read
// a further request. It returns false if the connection ends.
func (c *conn) awaitPending() bool {
	for c.pendingBytes.Load() > maxPendingBytes {
		select {
		case <-c.written:
		case <-c.ctx.Done():
			return false
		}
	}
	return true
}

// acquireReader gets a read buffer if the connection has none. It returns false if there
// is no room for it.
func (c *conn) acquireReader() bool {
	if c.reader != nil {
		return true
	}
	if !c.buffer.GrowWithin(readBufferBytes, memoryWait) {
		return false
	}
	c.reader = readBuffers.get(&c.input)
	return true
}

// releaseReader releases the read buffer.
func (c *conn) releaseReader() {
	if c.reader == nil {
		return
	}
	readBuffers.put(c.reader)
	c.reader = nil
	c.buffer.Release()
}

// rest returns the reader of what the caller sends next. It releases an empty read buffer.
func (c *conn) rest() io.Reader {
	if c.reader != nil && c.reader.Buffered() > 0 {
		return c.reader
	}
	c.releaseReader()
	return &c.input
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
	_, _ = io.CopyN(io.Discard, c.rest(), maxLingerBytes)
}

// awaitRequest waits for the first byte of a request. It returns false if no request
// will be read. If the caller disconnects, it cancels the context of the requests in
// flight.
func (c *conn) awaitRequest() bool {
	for {
		c.setIdleDeadline()
		err := c.readFirst()
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

// readFirst waits for the first bytes of a request. It releases the read buffer before.
func (c *conn) readFirst() error {
	if c.reader != nil && c.reader.Buffered() > 0 {
		return nil
	}
	c.releaseReader()
	n, err := c.socket.Read(c.firstBytes[:])
	if n == 0 {
		return err
	}
	// An error after the first bytes is returned by the next read.
	c.input.first = c.firstBytes[:n]
	return nil
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
	if c.isRefused {
		idle = refusalWait
	}
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
	n, err := io.CopyN(io.Discard, c.rest(), maxLingerBytes)
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
		c.releasePending(p)
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
	head, body := encodeResponse(p, c.options.Policy.Limits().withDefaults().IdleTimeout)
	if err := c.write(head, body); err != nil {
		c.cancel()
		return false
	}
	return true
}

// write writes a head and a body. A caller that reads too slowly gets an error: it would
// hold the memory of the response.
func (c *conn) write(head, body []byte) error {
	if len(body) <= maxJoinedBytes {
		_ = c.socket.SetWriteDeadline(c.options.Clock.Now().Add(transferGrace))
		_, err := c.socket.Write(append(head, body...))
		return err
	}
	c.writing.begin(c.options.Clock.Now())
	defer c.writing.end()
	for len(head)+len(body) > 0 {
		piece := body[:min(len(body), pieceBytes)]
		_ = c.socket.SetWriteDeadline(c.writing.deadline(c.options.MinRate, len(piece)))
		buffers := net.Buffers{head, piece}
		n, err := buffers.WriteTo(c.socket)
		if err != nil {
			return err
		}
		c.writing.add(c.options.Clock.Now(), int(n))
		head, body = nil, body[len(piece):]
	}
	return nil
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
		c.beginWaiting()
		c.setIdleDeadline()
	}
	return false
}

func (c *conn) beginWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = c.options.Clock.Now()
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
