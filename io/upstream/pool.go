package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"galenaridge/core/attempt"
	"galenaridge/core/dispatch"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

const (
	// poolHeader is the largest header of an answer in bytes.
	poolHeader = 8 << 10
	// poolBody is the largest body of an answer in bytes.
	poolBody = 16 << 20
	// connectNear and connectFar bound the opening of a connection in the own and
	// to another failure domain. A round trip takes well below 1 ms and about
	// 10 ms, and a lost packet is sent again only after a second, in which another
	// server has answered.
	connectNear = 60 * time.Millisecond
	connectFar  = 110 * time.Millisecond
	// reuseWithin is how long an idle connection may be reused. A path that
	// carried an answer this short ago is most likely still there; over a path
	// that is cut, a new connection fails before anything is sent.
	reuseWithin = 700 * time.Millisecond
	// unackedLimit ends a connection whose peer does not acknowledge data, as
	// behind a partition.
	unackedLimit = 1500 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 8
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	Clock       fleet.Clock
	HeaderCodec HeaderCodec
	// Domain is the failure domain of this instance.
	Domain fleet.Domain
}

// Pool sends requests to servers over connections that it opens as needed. Its
// methods may be called concurrently.
type Pool struct {
	options PoolOptions

	mu     sync.Mutex
	idle   map[registry.Incarnation][]idleConn
	closed bool
	opened int64
	reused int64
}

// idleConn is a connection without a request.
type idleConn struct {
	conn  *conn
	since time.Time
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	return &Pool{options: options, idle: make(map[registry.Incarnation][]idleConn)}
}

// Send implements dispatch.Sender.
func (p *Pool) Send(ctx context.Context, request dispatch.Attempt) (exchange.Response, attempt.Evidence) {
	var evidence attempt.Evidence
	response, err := p.send(ctx, request, &evidence)
	if err == nil {
		return response, evidence
	}
	evidence.Err = err
	evidence.TimedOut = err.Fault == TimedOut
	evidence.Canceled = err.Fault == Canceled
	if evidence.Declined {
		return exchange.Refuse(exchange.Overloaded, "the server did not run the request"), evidence
	}
	progress := Unwritten
	if evidence.Written {
		progress = Written
	}
	return refusal(err.Fault, progress), evidence
}

func (p *Pool) send(ctx context.Context, request dispatch.Attempt, evidence *attempt.Evidence) (exchange.Response, *Error) {
	var none exchange.Response
	c, reused := p.take(request.Server.Incarnation)
	if c == nil {
		dialed, err := p.dial(ctx, request.Server, request.Deadline)
		if err != nil {
			return none, err
		}
		c = dialed
	}
	stop := context.AfterFunc(ctx, c.close)
	t := &trip{conn: c, attempt: request, options: p.options, reused: reused, evidence: evidence}
	response, err := t.run(ctx)
	if !stop() || (err != nil && !evidence.Declined) || t.spoiled {
		c.close()
		return response, err
	}
	p.put(request.Server.Incarnation, c)
	return response, err
}

// take returns an idle connection that was used a short time ago.
func (p *Pool) take(server registry.Incarnation) (*conn, bool) {
	for {
		c := p.pop(server)
		if c == nil {
			return nil, false
		}
		if c.quiet() {
			return c, true
		}
		c.close()
	}
}

// pop removes the latest idle connection from the pool if it is recent.
func (p *Pool) pop(server registry.Incarnation) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if p.options.Clock.Now().Sub(last.since) > reuseWithin {
		return nil
	}
	p.idle[server] = list[:len(list)-1]
	p.reused++
	return last.conn
}

// put returns a connection to the pool.
func (p *Pool) put(server registry.Incarnation, c *conn) {
	if c.closed() || !p.keep(server, c) {
		c.close()
	}
}

func (p *Pool) keep(server registry.Incarnation, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[server]) >= maxIdle {
		return false
	}
	p.idle[server] = append(p.idle[server], idleConn{conn: c, since: p.options.Clock.Now()})
	return true
}

// dial opens a connection to a server.
func (p *Pool) dial(ctx context.Context, server registry.Server, deadline time.Time) (*conn, *Error) {
	within := connectNear
	if server.Domain != p.options.Domain {
		within = connectFar
	}
	c, err := open(ctx, opening{
		clock:    p.options.Clock,
		address:  server.Address,
		within:   within,
		deadline: deadline,
		header:   poolHeader,
		dialer:   net.Dialer{KeepAlive: -1, Control: boundUnacked},
	})
	if err == nil {
		p.count()
	}
	return c, err
}

func (p *Pool) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
}

// boundUnacked sets how long sent data may stay unacknowledged.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return eris.Wrap(err, "reaching the socket")
	}
	return eris.Wrap(failure, "bounding unacknowledged data")
}

// PruneIdle closes the connections that are too old to be reused and those to
// servers that are no longer listed.
func (p *Pool) PruneIdle(listed func(registry.Incarnation) bool) {
	now := p.options.Clock.Now()
	var old []*conn
	p.mu.Lock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if listed(server) && now.Sub(c.since) <= reuseWithin {
				kept = append(kept, c)
			} else {
				old = append(old, c.conn)
			}
		}
		p.idle[server] = kept
		if len(kept) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Close closes all idle connections; those in use are closed after their
// request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.PruneIdle(func(registry.Incarnation) bool { return false })
}

// ConnectionStats counts how requests got their connection.
type ConnectionStats struct {
	Opened int64
	Reused int64
}

// ConnectionStats returns how requests got their connection so far.
func (p *Pool) ConnectionStats() ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionStats{Opened: p.opened, Reused: p.reused}
}
