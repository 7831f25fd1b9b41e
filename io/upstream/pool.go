package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"galenaridge/core/attempt"
	"galenaridge/core/dispatch"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/io/memory"
)

const (
	// poolMaxHeaderBytes is the size of the largest response header.
	poolMaxHeaderBytes = 8 << 10
	// poolMaxBodyBytes is the size of the largest response body.
	poolMaxBodyBytes = 16 << 20
	// localConnectTimeout and remoteConnectTimeout bound the time to open a connection
	// to a server in the same and in another failure domain. A round trip takes well
	// below 1 ms within a failure domain, and about 10 ms between two. TCP retransmits
	// a lost packet only after 1 s; by then, another server has responded.
	localConnectTimeout  = 60 * time.Millisecond
	remoteConnectTimeout = 110 * time.Millisecond
	// maxReuseAge is how long a connection may be idle before reuse. If the network
	// path delivered a response so recently, it is most likely intact. After a
	// longer time a new connection is opened, which fails on a broken path before
	// any request is sent.
	maxReuseAge = 700 * time.Millisecond
	// maxIdempotentReuseAge replaces maxReuseAge for idempotent requests. If the path is
	// broken, a second attempt on another server follows.
	maxIdempotentReuseAge = 4 * time.Second
	// unackedTimeout ends a connection whose peer does not acknowledge sent data, for
	// example because of a network partition.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 8
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Clock       fleet.Clock
	HeaderCodec HeaderCodec
	// Domain is the failure domain of this instance.
	Domain fleet.Domain
	// Memory bounds the bytes of all connections and responses in progress. If it is nil,
	// the pool has a budget of its own.
	Memory *memory.Budget
	// MaxConns is the largest number of open connections; zero if it is not limited.
	MaxConns int
}

// Pool sends requests to servers over connections that it opens as needed. Its
// methods may be called concurrently.
type Pool struct {
	options PoolOptions
	// openConns is the number of open connections.
	openConns atomic.Int64

	mu          sync.Mutex
	idleConns   map[registry.Incarnation][]idleConn
	closed      bool
	openedCount int64
	reusedCount int64
}

// idleConn is a connection without a request in flight.
type idleConn struct {
	conn      *conn
	idleSince time.Time
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	if options.Memory == nil {
		options.Memory = memory.NewBudget(memory.Options{LimitBytes: defaultMemoryBudget, ReserveBytes: defaultMemoryReserve})
	}
	return &Pool{
		options:   options,
		idleConns: make(map[registry.Incarnation][]idleConn),
	}
}

// Send implements dispatch.Sender. It makes one attempt and never retries.
func (p *Pool) Send(ctx context.Context, request dispatch.Attempt) (exchange.Response, attempt.Evidence) {
	var evidence attempt.Evidence
	response, err := p.send(ctx, request, &evidence)
	if err == nil {
		return response, evidence
	}
	evidence.Err = err
	evidence.TimedOut = err.Fault == TimedOut
	// A lack of memory says nothing about the server.
	evidence.Canceled = err.Fault == Canceled || err.Fault == NoMemory
	evidence.Denied = err.Fault == Denied
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
	c, reused := p.takeIdle(request.Server.Incarnation, !request.Request.Protected)
	if c == nil {
		dialed, err := p.dial(ctx, request.Server, request.Deadline)
		if err != nil {
			return none, err
		}
		c = dialed
	}
	stop := context.AfterFunc(ctx, c.close)
	t := &roundTrip{conn: c, attempt: request, options: p.options, reused: reused, evidence: evidence}
	response, err := t.run(ctx)
	c.budget.reset()
	if !stop() || (err != nil && !evidence.Declined) || t.mustClose {
		c.close()
		return response, err
	}
	p.putIdle(request.Server.Incarnation, c)
	return response, err
}

// takeIdle removes a reusable idle connection from the pool and returns it, or nil if
// there is none. It closes the idle connections that are not reusable.
func (p *Pool) takeIdle(server registry.Incarnation, idempotent bool) (*conn, bool) {
	for {
		c := p.popIdle(server, idempotent)
		if c == nil {
			return nil, false
		}
		if c.isReusable() {
			return c, true
		}
		c.close()
	}
}

// popIdle removes an idle connection from the pool and returns it, or nil if all were idle
// for too long. An idempotent request takes the oldest one, and so leaves the recently used
// ones for requests that must not be sent on a broken path.
func (p *Pool) popIdle(server registry.Incarnation, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idleConns[server]
	now := p.options.Clock.Now()
	found := len(conns) - 1
	maxAge := maxReuseAge
	if idempotent {
		maxAge = maxIdempotentReuseAge
		found = slices.IndexFunc(conns, func(c idleConn) bool { return now.Sub(c.idleSince) <= maxAge })
	}
	if found < 0 || now.Sub(conns[found].idleSince) > maxAge {
		return nil
	}
	c := conns[found].conn
	p.idleConns[server] = slices.Delete(conns, found, found+1)
	p.reusedCount++
	return c
}

// putIdle returns a connection to the pool, or closes it if the pool does not accept
// it.
func (p *Pool) putIdle(server registry.Incarnation, c *conn) {
	if c.closed() || !p.addIdle(server, c) {
		c.close()
	}
}

func (p *Pool) addIdle(server registry.Incarnation, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idleConns[server]) >= maxIdleConns {
		return false
	}
	p.idleConns[server] = append(p.idleConns[server], idleConn{conn: c, idleSince: p.options.Clock.Now()})
	return true
}

func (p *Pool) dial(ctx context.Context, server registry.Server, deadline time.Time) (*conn, *Error) {
	if !p.reserveConn() {
		return nil, &Error{Fault: Denied, cause: eris.New("there are too many connections to servers")}
	}
	timeout := localConnectTimeout
	if server.Domain != p.options.Domain {
		timeout = remoteConnectTimeout
	}
	c, err := dialConn(ctx, dialOptions{
		clock:          p.options.Clock,
		address:        server.Address,
		timeout:        timeout,
		deadline:       deadline,
		maxHeaderBytes: poolMaxHeaderBytes,
		dialer:         net.Dialer{KeepAlive: -1, Control: setUnackedTimeout},
	})
	if err != nil {
		p.openConns.Add(-1)
		return nil, err
	}
	buffers := p.options.Memory.NewHolding(memory.ServerConnections)
	buffers.Add(connBytes)
	c.onClose = func() {
		buffers.Release()
		p.openConns.Add(-1)
	}
	c.budget.body, c.budget.clock = p.options.Memory.NewHolding(memory.IncomingResponses), p.options.Clock
	p.countOpened()
	return c, nil
}

// reserveConn counts a connection that is about to be opened. If there are too many, it
// closes idle ones; it returns false if there are none.
func (p *Pool) reserveConn() bool {
	limit := int64(p.options.MaxConns)
	if p.openConns.Add(1) <= limit || limit <= 0 {
		return true
	}
	if c := p.popOldest(); c != nil {
		c.close()
		return true
	}
	p.openConns.Add(-1)
	return false
}

// popOldest removes the connection that has been idle for longest from the pool and
// returns it, or nil if there is none.
func (p *Pool) popOldest() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest registry.Incarnation
	var oldestSince time.Time
	for server, conns := range p.idleConns {
		if len(conns) > 0 && (oldestSince.IsZero() || conns[0].idleSince.Before(oldestSince)) {
			oldest, oldestSince = server, conns[0].idleSince
		}
	}
	if oldestSince.IsZero() {
		return nil
	}
	conns := p.idleConns[oldest]
	p.idleConns[oldest] = conns[1:]
	return conns[0].conn
}

func (p *Pool) countOpened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedCount++
}

// setUnackedTimeout sets the time after which TCP ends the connection if sent data is
// not acknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return eris.Wrap(err, "accessing the socket")
	}
	return eris.Wrap(sockoptErr, "setting TCP_USER_TIMEOUT")
}

// PruneIdle closes the idle connections that are older than maxIdempotentReuseAge and those to
// servers that are no longer listed.
func (p *Pool) PruneIdle(isListed func(registry.Incarnation) bool) {
	now := p.options.Clock.Now()
	var unusable []*conn
	p.mu.Lock()
	for server, conns := range p.idleConns {
		kept := conns[:0]
		for _, c := range conns {
			if isListed(server) && now.Sub(c.idleSince) <= maxIdempotentReuseAge {
				kept = append(kept, c)
			} else {
				unusable = append(unusable, c.conn)
			}
		}
		p.idleConns[server] = kept
		if len(kept) == 0 {
			delete(p.idleConns, server)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		c.close()
	}
}

// Close closes all idle connections. Connections in use are closed when their request
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.PruneIdle(func(registry.Incarnation) bool { return false })
}

// ConnectionStats is the number of connections opened, and the number of times that
// an idle connection was reused.
type ConnectionStats struct {
	Opened int64
	Reused int64
}

// ConnectionStats returns the counts since the start of the pool.
func (p *Pool) ConnectionStats() ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionStats{Opened: p.openedCount, Reused: p.reusedCount}
}
