package gateway

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/io/peer/snapshot"
)

// web is an HTTP server for calls that are not requests of callers.
type web struct {
	name     string
	listener net.Listener
	server   *fasthttp.Server
}

// openWebs opens the servers of the directory, of readiness, of peers and of
// operators.
func (p *Process) openWebs() error {
	directory := fiber.New()
	p.options.Adapter.RegisterDirectory(directory, assigner{p})
	peers := fiber.New()
	snapshot.Register(peers, p.control, p.log)
	operators := fiber.New()
	operators.Get("/metrics", p.writeMetrics)
	s := p.options.Settings
	webs := []struct {
		name    string
		address fleet.Address
		app     *fiber.App
	}{
		{"directory", s.Listen.Directory, directory},
		{"readiness", s.Listen.Ready, directory},
		{"peers", s.Listen.Peer, peers},
		{"operators", s.Listen.Operator, operators},
	}
	for _, w := range webs {
		if w.address == "" {
			continue
		}
		listener, err := listen(w.name, w.address)
		if err != nil {
			return err
		}
		p.webs = append(p.webs, web{name: w.name, listener: listener, server: newWeb(w.app)})
	}
	return nil
}

const (
	// webRead bounds the arrival of a call, webIdle the wait for the next.
	webRead = 5 * time.Second
	webIdle = 30 * time.Second
)

func newWeb(app *fiber.App) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               app.Handler(),
		ReadTimeout:           webRead,
		WriteTimeout:          webRead,
		IdleTimeout:           webIdle,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
}

// discard drops the lines of fasthttp, which report disconnects and mistakes of
// clients.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}
