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

// Options holds the listen addresses of a platform.
type Options struct {
	ReaderAddress   fleet.Address
	OperatorAddress fleet.Address
}

// Platform is a running simulated platform.
type Platform struct {
	clock            clockwork.Clock
	values           *store
	calls            *callMeter
	readerListener   net.Listener
	operatorListener net.Listener
	httpServers      []*http.Server
	serving          conc.WaitGroup
}

// Start opens both listeners and serves them until Close.
func Start(options Options, clock clockwork.Clock) (*Platform, error) {
	values, err := newStore(clock.Now())
	if err != nil {
		return nil, err
	}
	p := &Platform{clock: clock, values: values, calls: newCallMeter(clock.Now())}
	if p.readerListener, err = listen(options.ReaderAddress); err != nil {
		return nil, err
	}
	if p.operatorListener, err = listen(options.OperatorAddress); err != nil {
		_ = p.readerListener.Close()
		return nil, err
	}
	p.serve(p.readerListener, p.readerHandler())
	p.serve(p.operatorListener, p.operatorHandler())
	return p, nil
}

// ReaderAddress returns the address of the listener for readers.
func (p *Platform) ReaderAddress() fleet.Address {
	return fleet.Address(p.readerListener.Addr().String())
}

// OperatorAddress returns the address of the listener for operators.
func (p *Platform) OperatorAddress() fleet.Address {
	return fleet.Address(p.operatorListener.Addr().String())
}

// Stats returns the call counts and rates of readers so far.
func (p *Platform) Stats() Stats { return p.calls.snapshot(p.clock.Now()) }

// Close closes both listeners and all connections and waits until serving has
// ended.
func (p *Platform) Close() {
	for _, s := range p.httpServers {
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
	p.httpServers = append(p.httpServers, s)
	p.serving.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
}

// newTimerAt returns a timer that fires at the given time, or never if the time is
// zero.
func (p *Platform) newTimerAt(at time.Time) clockwork.Timer {
	if at.IsZero() {
		timer := p.clock.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return p.clock.NewTimer(at.Sub(p.clock.Now()))
}
