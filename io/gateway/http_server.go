package gateway

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/io/peer/snapshot"
)

// httpServer serves HTTP calls other than the forwarded requests of callers.
type httpServer struct {
	name     string
	listener net.Listener
	server   *fasthttp.Server
}

// openHTTPServers opens the listeners of the HTTP servers for the directory,
// readiness checks, peers and operators. Servers without an address are omitted.
func (p *Process) openHTTPServers() error {
	directoryApp := fiber.New()
	p.options.Adapter.RegisterDirectory(directoryApp, directory{p})
	peerApp := fiber.New()
	snapshot.Register(peerApp, snapshot.Options{
		Source:    localCopy{p},
		Clock:     p.clock,
		Log:       p.log,
		LinkSpeed: snapshot.Mbps(p.options.Settings.Capacity.LinkMbps),
	})
	operatorApp := fiber.New()
	operatorApp.Get("/metrics", p.writeMetrics)
	operatorApp.Get("/state", p.writeState)
	s := p.options.Settings
	servers := []struct {
		name    string
		address fleet.Address
		app     *fiber.App
		conns   int
	}{
		{"directory", s.Listen.Directory, directoryApp, p.descriptors.directory},
		{"readiness", s.Listen.Ready, directoryApp, p.descriptors.operators},
		{"peers", s.Listen.Peer, peerApp, p.descriptors.peers},
		{"operators", s.Listen.Operator, operatorApp, p.descriptors.operators},
	}
	for _, server := range servers {
		if server.address == "" {
			continue
		}
		listener, err := p.listen(server.name, server.address)
		if err != nil {
			return err
		}
		p.httpServers = append(p.httpServers, httpServer{name: server.name, listener: listener, server: newHTTPServer(server.app, server.conns)})
	}
	return nil
}

const (
	// httpTransferTimeout bounds the reading of one call and the writing of its
	// response.
	httpTransferTimeout = 5 * time.Second
	// httpIdleTimeout bounds the wait for the next call of a connection.
	httpIdleTimeout = 30 * time.Second
)

// newHTTPServer returns a server with at most a number of connections; zero takes the
// default of the library.
func newHTTPServer(app *fiber.App, conns int) *fasthttp.Server {
	return &fasthttp.Server{
		Concurrency:           conns,
		Handler:               app.Handler(),
		ReadTimeout:           httpTransferTimeout,
		WriteTimeout:          httpTransferTimeout,
		IdleTimeout:           httpIdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger drops the log lines of fasthttp, which report only disconnects and
// errors of clients.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
