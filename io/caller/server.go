package caller

import (
	"bytes"
	"context"
	"errors"
	"net"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

const (
	defaultMaxConns       = 10_000
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultReadTimeout    = 5 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultIdleTimeout    = time.Minute
)

// instancePathPrefix is the prefix of the paths that the instance serves itself.
var instancePathPrefix = []byte("/-/")

// Options configures a Server; zero numbers select the defaults.
type Options struct {
	Clock    fleet.Clock
	Handler  Handler
	Assigner Assigner
	Policy   Policy
	Stopping Stopping
	// Keys are the keys of the customers; nil if requests need none.
	Keys *Keys
	Log  logrus.FieldLogger
	// Metrics is the set in which the histograms and counters of requests are
	// registered.
	Metrics *metrics.Set
	// MaxConns is the maximum number of open connections; 10,000 by default.
	MaxConns int
	// MaxHeaderBytes is the size of the largest request header; 16 KiB by default.
	// The configuration may set a lower limit.
	MaxHeaderBytes int
	// MaxBodyBytes is the size of the largest request body if the configuration sets
	// no limit; 1 MiB by default.
	MaxBodyBytes int
	// ReadTimeout bounds the time to read one request from its first byte on; 5 s by default.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to write one response; 5 s by default.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the first byte of a request; 60 s by default.
	IdleTimeout time.Duration
}

// withDefaults returns the options with zero numbers replaced by the defaults.
func (o Options) withDefaults() Options {
	o.MaxConns = orDefault(o.MaxConns, defaultMaxConns)
	o.MaxHeaderBytes = orDefault(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.ReadTimeout = orDefault(o.ReadTimeout, defaultReadTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
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

// New returns a server. It accepts connections after Serve is called.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), series: newSeries(options.Metrics)}
	s.routes = s.newRoutes()
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		HeaderReceived:               s.headerReceived,
		Logger:                       debugLogger{options.Log},
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

// debugLogger writes the log lines of fasthttp at debug level: they report invalid
// requests and disconnects, so callers could flood the log at a higher level.
type debugLogger struct{ log logrus.FieldLogger }

// Printf logs a line at debug level.
func (l debugLogger) Printf(format string, args ...any) { l.log.Debugf(format, args...) }

// Serve serves callers on the listener until Shutdown; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, s.options)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return listener.Close()
	}
	s.listener = limited
	s.mu.Unlock()
	if err := s.http.Serve(limited); err != nil {
		return eris.Wrap(err, "serving callers")
	}
	return nil
}

// Shutdown closes the listener and idle connections, and waits until all requests
// in flight have a response or the context ends. A request that arrives on an idle
// connection while it is being closed is lost. Shutdown should therefore be called
// after Stopping has reported true for the TTL of assignments: until then, responses
// make callers close their connections.
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

// limits returns the active limits, with defaults.
func (s *Server) limits() config.Limits {
	limits := s.options.Policy.Limits()
	limits.MaxBodyBytes = orDefault(limits.MaxBodyBytes, s.options.MaxBodyBytes)
	limits.MaxHeaderBytes = min(orDefault(limits.MaxHeaderBytes, s.options.MaxHeaderBytes), s.options.MaxHeaderBytes)
	return limits
}

// headerReceived applies the active limit of the body size.
func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.limits().MaxBodyBytes}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Request.Header.RequestURI(), instancePathPrefix) {
		s.routes(ctx)
		return
	}
	started := s.options.Clock.Now()
	counts := s.customer(&ctx.Request.Header)
	request, token, refusal := s.parse(ctx, counts, started)
	result := Result{}
	if refusal != nil {
		result.Response = *refusal
	} else {
		result = s.serve(ctx, request, token)
	}
	labels := s.writeResponse(ctx, result)
	counts.count(result.Response.Refused())
	duration := s.options.Clock.Now().Sub(started)
	customer := request.Customer
	class, configured := s.options.Policy.Class(customer)
	s.series.observe(customer, class, configured, duration)
	s.series.countResponse(labels)
}

// customer returns the counts of the customer whose key a request carries, or nil.
func (s *Server) customer(header *fasthttp.RequestHeader) *customerCounts {
	if s.options.Keys == nil {
		return nil
	}
	return s.options.Keys.customers[http1.ParseCredential(header)]
}

// identify sets the customer of a request and removes its key. It returns a refusal if the
// key is missing or unknown. What the caller says about its customer does not count.
func (s *Server) identify(request *exchange.Request, counts *customerCounts) *exchange.Response {
	if counts == nil {
		return refuse(exchange.Unauthorized, "the request has no valid key")
	}
	request.Customer = counts.name
	request.Headers = slices.DeleteFunc(request.Headers, func(h exchange.Header) bool {
		return strings.EqualFold(h.Name, fasthttp.HeaderAuthorization)
	})
	return nil
}

// parse returns the request with its body, and its token, or a refusal. The refusal
// of a request with a token takes into account that a duplicate may have run.
func (s *Server) parse(ctx *fasthttp.RequestCtx, counts *customerCounts, now time.Time) (exchange.Request, string, *exchange.Response) {
	header := &ctx.Request.Header
	request, token, refused := parseRequest(header, s.limits(), s.options.Policy, now)
	if s.options.Keys != nil && refused == nil {
		refused = s.identify(&request, counts)
	}
	if refused != nil && len(header.Peek(headerToken)) > 0 {
		refusal := refused.ForDuplicate()
		refused = &refusal
	}
	if refused != nil {
		return exchange.Request{}, "", refused
	}
	if body := ctx.Request.Body(); len(body) > 0 {
		request.Body = bytes.Clone(body)
	}
	return request, token, nil
}

// serve calls the handler with a context that ends if the caller disconnects. A
// panic of the handler makes the outcome of this request unknown and does not end
// the process, which has other requests in flight.
func (s *Server) serve(ctx *fasthttp.RequestCtx, request exchange.Request, token string) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			s.options.Log.WithField("stack", string(debug.Stack())).Errorf("handler of a request panicked: %v", value)
			result = Result{Response: *refuse(exchange.UpstreamLost, "the request ended abnormally")}
		}
	}()
	handlerCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := cancelOnDisconnect(ctx.Conn(), cancel)
	defer stop()
	return s.options.Handler.Serve(handlerCtx, request, token)
}

// handleReadError responds to a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	response := exchange.Refuse(exchange.BadRequest, "the request is not valid HTTP/1.1")
	switch {
	case errors.As(err, &smallBuffer):
		response = exchange.Refuse(exchange.TooLarge, "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		response = exchange.Refuse(exchange.TooLarge, "the body is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		response = exchange.Refuse(exchange.BadRequest, "the request did not arrive in time")
	}
	if conn, ok := ctx.Conn().(*countedConn); ok && !conn.dataReceived {
		// No request was received. The caller may be about to send one, and would take
		// this response for the response to its request.
		_ = ctx.Conn().Close()
	}
	s.series.countResponse(s.writeResponse(ctx, Result{Response: response}))
}
