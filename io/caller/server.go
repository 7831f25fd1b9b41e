package caller

import (
	"bytes"
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

const (
	defaultConns  = 10_000
	defaultHeader = 16 << 10
	defaultBody   = 1 << 20
	defaultRead   = 5 * time.Second
	defaultWrite  = 5 * time.Second
	defaultIdle   = time.Minute
)

// ownPrefix starts the paths that belong to the instance.
var ownPrefix = []byte("/-/")

// Options configures a Server; zero numbers select the defaults.
type Options struct {
	Clock    fleet.Clock
	Handler  Handler
	Assigner Assigner
	Policy   Policy
	Stopping Stopping
	Log      logrus.FieldLogger
	// Metrics receives the histograms and counters of requests.
	Metrics *metrics.Set
	// MaxConns is the largest number of open connections; 10,000 by default.
	MaxConns int
	// MaxHeaderBytes is the largest request header in bytes; 16 KiB by default. The
	// configuration may set a lower limit.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest request body in bytes while the configuration sets
	// no limit; 1 MiB by default.
	MaxBodyBytes int
	// ReadTimeout bounds the reading of one request; 5 s by default.
	ReadTimeout time.Duration
	// WriteTimeout bounds the writing of one response; 5 s by default.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next request; 60 s by default.
	IdleTimeout time.Duration
}

// withDefaults returns the options with defaults in place of zero numbers.
func (o Options) withDefaults() Options {
	o.MaxConns = orDefault(o.MaxConns, defaultConns)
	o.MaxHeaderBytes = orDefault(o.MaxHeaderBytes, defaultHeader)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, defaultBody)
	o.ReadTimeout = orDefault(o.ReadTimeout, defaultRead)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWrite)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdle)
	return o
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Server is the front end for callers.
type Server struct {
	options Options
	http    *fasthttp.Server
	routes  fasthttp.RequestHandler
	series  *series

	mu       sync.Mutex
	listener net.Listener
	stopped  bool
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), series: newSeries(options.Metrics)}
	s.routes = s.newRoutes()
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.unreadable,
		HeaderReceived:               s.headerReceived,
		Logger:                       quiet{options.Log},
		Concurrency:                  s.options.MaxConns + 1,
		ReadBufferSize:               s.options.MaxHeaderBytes,
		ReadTimeout:                  s.options.ReadTimeout,
		WriteTimeout:                 s.options.WriteTimeout,
		IdleTimeout:                  s.options.IdleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
	}
	return s
}

// quiet passes the log lines of fasthttp on at debug level: they report
// mistakes and disconnects of callers, whose number callers decide.
type quiet struct{ log logrus.FieldLogger }

// Printf logs a line.
func (q quiet) Printf(format string, args ...any) { q.log.Debugf(format, args...) }

// Serve answers callers on the listener until Shutdown; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	gated := newGate(listener, s.options.MaxConns)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return listener.Close()
	}
	s.listener = gated
	s.mu.Unlock()
	if err := s.http.Serve(gated); err != nil {
		return eris.Wrap(err, "serving callers")
	}
	return nil
}

// Shutdown closes the listener and idle connections, and waits until all
// requests in flight are answered or the context ends. A request that arrives
// on an idle connection as it is closed is lost, so Shutdown should follow
// the time in which callers keep assignments, during which Stopping makes
// them close their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	err := s.http.ShutdownWithContext(ctx)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "waiting for callers")
	}
	return nil
}

// limits returns the limits in force, with defaults.
func (s *Server) limits() config.Limits {
	limits := s.options.Policy.Limits()
	limits.MaxBodyBytes = orDefault(limits.MaxBodyBytes, s.options.MaxBodyBytes)
	limits.MaxHeaderBytes = min(orDefault(limits.MaxHeaderBytes, s.options.MaxHeaderBytes), s.options.MaxHeaderBytes)
	return limits
}

// headerReceived bounds the body by the limits in force.
func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.limits().MaxBodyBytes}
}

// handle answers one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Request.Header.RequestURI(), ownPrefix) {
		s.routes(ctx)
		return
	}
	started := s.options.Clock.Now()
	request, token, problem := s.parse(ctx, started)
	result := Result{}
	if problem != nil {
		result.Response = *problem
	} else {
		result = s.serve(ctx, request, token)
	}
	labels := s.write(ctx, result)
	took := s.options.Clock.Now().Sub(started)
	tenant := request.Tenant
	class, known := s.options.Policy.Class(tenant)
	s.series.observe(tenant, class, known, took)
	s.series.count(labels)
}

// parse returns the request and its token, or a refusal.
func (s *Server) parse(ctx *fasthttp.RequestCtx, now time.Time) (exchange.Request, string, *exchange.Response) {
	header := &ctx.Request.Header
	request, token, err := parseRequest(header, s.limits(), s.options.Policy, now)
	if err != nil && len(header.Peek(headerToken)) > 0 {
		refusal := err.ForDuplicate()
		err = &refusal
	}
	if err != nil {
		return exchange.Request{}, "", err
	}
	if body := ctx.Request.Body(); len(body) > 0 {
		request.Body = bytes.Clone(body)
	}
	return request, token, nil
}

// serve calls the handler with a context that ends if the caller goes away. A
// panic of the handler leaves the outcome of this request unknown, and must
// not end the process with all other requests in flight.
func (s *Server) serve(ctx *fasthttp.RequestCtx, request exchange.Request, token string) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			s.options.Log.WithField("stack", string(debug.Stack())).Errorf("handler of a request panicked: %v", value)
			result = Result{Response: *refuse(exchange.UpstreamLost, "the request ended abnormally")}
		}
	}()
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := watch(ctx.Conn(), cancel)
	defer stop()
	return s.options.Handler.Serve(running, request, token)
}

// unreadable answers a request that could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	response := exchange.Refuse(exchange.BadRequest, "the request is not valid HTTP/1.1")
	switch {
	case errors.As(err, &small):
		response = exchange.Refuse(exchange.TooLarge, "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		response = exchange.Refuse(exchange.TooLarge, "the body is too large")
	case errors.As(err, &network) && network.Timeout():
		response = exchange.Refuse(exchange.BadRequest, "the request did not arrive in time")
	}
	if conn, ok := ctx.Conn().(*gatedConn); ok && !conn.spoke {
		// Nothing was asked, so an answer could be taken for that of a
		// request which the caller is about to send.
		_ = ctx.Conn().Close()
	}
	s.series.count(s.write(ctx, Result{Response: response}))
}
