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
)

// conn is a connection of a caller.
type conn struct {
	options Options
	socket  net.Conn
	reader  *bufio.Reader
	cancel  context.CancelFunc
	ctx     context.Context
	queue   chan *pending

	mu sync.Mutex
	// open counts the requests without a written answer.
	open int
	// answered counts the answers.
	answered int
	// ending says that no further request is read.
	ending bool
}

// pending is a request that waits for its answer.
type pending struct {
	done     chan struct{}
	response exchange.Response
	head     bool
	// last ends the connection after the answer.
	last bool
}

// readers is a typed pool of read buffers.
var readers = readerPool{}

type readerPool struct{ pool sync.Pool }

func (p *readerPool) get(r io.Reader) *bufio.Reader {
	if reader, ok := p.pool.Get().(*bufio.Reader); ok {
		reader.Reset(r)
		return reader
	}
	return bufio.NewReaderSize(r, maxHeader)
}

func (p *readerPool) put(r *bufio.Reader) {
	r.Reset(nil)
	p.pool.Put(r)
}

func newConn(options Options, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		options: options,
		socket:  socket,
		ctx:     ctx,
		cancel:  cancel,
		queue:   make(chan *pending, maxPending),
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	c.reader = readers.get(c.socket)
	var wg conc.WaitGroup
	wg.Go(c.writeAll)
	c.readAll(&wg)
	close(c.queue)
	wg.Wait()
	c.cancel()
	_ = c.socket.Close()
	readers.put(c.reader)
}

// readAll reads requests and starts their handlers.
func (c *conn) readAll(wg *conc.WaitGroup) {
	for {
		if !c.awaitRequest() {
			return
		}
		request, problem := c.readRequest()
		if problem != nil {
			c.enqueue(problem)
			c.awaitEnd()
			return
		}
		p := &pending{
			done: make(chan struct{}),
			head: request.Request.Method == fasthttp.MethodHead,
			last: request.last,
		}
		if !c.enqueue(p) {
			return
		}
		wg.Go(func() {
			defer close(p.done)
			p.response = c.options.Handler.Serve(c.ctx, request.Request)
		})
		if p.last {
			c.awaitEnd()
			return
		}
	}
}

// enqueue adds a request to those that wait for answers, and reports false if
// the connection ends, so that the request counts as not read.
func (c *conn) enqueue(p *pending) bool {
	if !c.admit() {
		c.drain()
		return false
	}
	select {
	case c.queue <- p:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// admit counts a request unless the connection ends.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.open++
	return true
}

// drain reads what the caller has sent behind the last answer, since closing a
// connection with unread bytes would reset it and take the answer along.
func (c *conn) drain() {
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
}

// awaitRequest waits for the first byte of a request, and reports false when
// there will be none. A caller that goes away ends the context, so that its
// requests are given up.
func (c *conn) awaitRequest() bool {
	for {
		c.setIdleDeadline()
		_, err := c.reader.Peek(1)
		switch {
		case err == nil && c.isEnding():
			c.drain()
			return false
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.busy():
			// The deadline was set before a request came in.
		case errors.Is(err, os.ErrDeadlineExceeded):
			return false
		default:
			c.cancel()
			return false
		}
	}
}

// setIdleDeadline bounds the wait for a request while none is open.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	idle := c.options.Policy.Limits().withDefaults().IdleTimeout
	_ = c.socket.SetReadDeadline(c.options.Clock.Now().Add(idle))
}

// awaitEnd waits after the last request until the caller goes away, so that its
// requests are given up then, or until the answers are written.
func (c *conn) awaitEnd() {
	_ = c.socket.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.ending = true
	open := c.open
	c.mu.Unlock()
	if open == 0 {
		return
	}
	// Reads on rather than peeking, since bytes behind the last request would
	// hide the end of the stream.
	n, err := io.CopyN(io.Discard, c.reader, lingerBytes)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || n == lingerBytes {
		c.cancel()
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// past is a read deadline that has always expired.
var past = time.Unix(1, 0)

// writeAll writes the answers in order.
func (c *conn) writeAll() {
	broken := false
	for p := range c.queue {
		<-p.done
		if !broken {
			broken = !c.write(p)
		}
		if c.finish(p, broken) {
			broken = true
		}
	}
}

// write writes one answer and reports whether it could.
func (c *conn) write(p *pending) bool {
	if c.ctx.Err() != nil {
		return false
	}
	c.markLast(p)
	_ = c.socket.SetWriteDeadline(c.options.Clock.Now().Add(writeWait))
	_, err := c.socket.Write(appendAnswer(nil, p, c.options.Policy.Limits().withDefaults().IdleTimeout))
	if err != nil {
		c.cancel()
		return false
	}
	return true
}

// markLast makes an answer the last of its connection if the instance is
// stopping and no other request was read.
func (c *conn) markLast(p *pending) {
	if !c.options.Policy.Stopping() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 1 {
		p.last = true
		c.ending = true
	}
}

// finish takes a request off the open ones and reports whether the connection
// ends.
func (c *conn) finish(p *pending, broken bool) bool {
	c.mu.Lock()
	c.open--
	c.answered++
	open := c.open
	ends := broken || p.last
	c.ending = c.ending || ends
	c.mu.Unlock()
	if ends {
		c.end()
		return true
	}
	if open == 0 {
		// The reader waits without a deadline while requests are open.
		c.setIdleDeadline()
	}
	return false
}

// end ends the connection after an answer.
func (c *conn) end() {
	half, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil {
		_ = c.socket.SetReadDeadline(past)
		return
	}
	_ = half.CloseWrite()
	_ = c.socket.SetReadDeadline(c.options.Clock.Now().Add(lingerWait))
}

// endIdle closes the connection if it is idle and has carried a request.
func (c *conn) endIdle() {
	c.mu.Lock()
	idle := c.open == 0 && c.answered > 0
	if idle {
		c.ending = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.socket.SetReadDeadline(past)
	}
}

// abort gives up all requests of the connection.
func (c *conn) abort() {
	c.cancel()
	_ = c.socket.Close()
}
