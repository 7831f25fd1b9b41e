package platform

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
)

// Options holds the addresses of a platform.
type Options struct {
	ReaderAddress   fleet.Address
	OperatorAddress fleet.Address
}

// Platform is a running platform.
type Platform struct {
	clock     clockwork.Clock
	store     *store
	meter     *meter
	readers   net.Listener
	operators net.Listener
	servers   []*http.Server
	serving   conc.WaitGroup
}

// Start opens both listeners and serves them until Close.
func Start(options Options, clock clockwork.Clock) (*Platform, error) {
	values, err := newStore(clock.Now())
	if err != nil {
		return nil, err
	}
	p := &Platform{clock: clock, store: values, meter: newMeter(clock.Now())}
	if p.readers, err = listen(options.ReaderAddress); err != nil {
		return nil, err
	}
	if p.operators, err = listen(options.OperatorAddress); err != nil {
		_ = p.readers.Close()
		return nil, err
	}
	p.serve(p.readers, p.readerRoutes())
	p.serve(p.operators, p.operatorRoutes())
	return p, nil
}

// ReaderAddress returns the address for readers.
func (p *Platform) ReaderAddress() fleet.Address { return fleet.Address(p.readers.Addr().String()) }

// OperatorAddress returns the address for operators.
func (p *Platform) OperatorAddress() fleet.Address { return fleet.Address(p.operators.Addr().String()) }

// Stats returns the counts of calls so far.
func (p *Platform) Stats() Stats { return p.meter.read(p.clock.Now()) }

// Close ends both listeners and all calls.
func (p *Platform) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.serving.Wait()
}

func listen(addr fleet.Address) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(addr))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", addr)
	}
	return l, nil
}

func (p *Platform) serve(l net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	p.servers = append(p.servers, s)
	p.serving.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
}

// lagTimer returns a timer for a time, or one that never ends for zero.
func (p *Platform) lagTimer(at time.Time) clockwork.Timer {
	if at.IsZero() {
		timer := p.clock.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return p.clock.NewTimer(at.Sub(p.clock.Now()))
}
