package accept

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// firstDelay and maxDelay bound the time until the next try after a failure. It doubles
	// with each failure.
	firstDelay = 5 * time.Millisecond
	maxDelay   = 200 * time.Millisecond
	// logInterval is the shortest time between two log lines about failures.
	logInterval = 10 * time.Second
)

// Options configures a Listener.
type Options struct {
	// Name names the server in log lines.
	Name string
	Log  logrus.FieldLogger
	// OnFailure is called after a failure and may free descriptors. It may be nil.
	OnFailure func()
}

// Listener is a net.Listener whose Accept fails only after Close: servers such as those of
// fasthttp and net/http end at the first failure, and with them the process.
type Listener struct {
	net.Listener
	options  Options
	closed   chan struct{}
	close    sync.Once
	loggedAt time.Time
}

// New returns a listener that accepts the connections of another one.
func New(listener net.Listener, options Options) *Listener {
	return &Listener{Listener: listener, options: options, closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits after failures. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := firstDelay; ; delay = min(2*delay, maxDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.logFailure(err)
		if l.options.OnFailure != nil {
			l.options.OnFailure()
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

func (l *Listener) logFailure(err error) {
	now := time.Now()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = now
	l.options.Log.WithError(err).Warnf("accepting a connection for %s failed; retrying", l.options.Name)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
