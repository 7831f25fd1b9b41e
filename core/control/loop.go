package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Loop is the command loop that owns the control state of one instance.
type Loop struct {
	options  Options
	commands chan func(*node, time.Time)
	view     atomic.Pointer[View]
	calls    conc.WaitGroup
	done     chan struct{}
	node     *node
}

// New returns a loop with an initial view. It processes commands only in Run.
func New(options Options) *Loop {
	if options.QueueCapacity <= 0 {
		options.QueueCapacity = defaultQueueCapacity
	}
	l := &Loop{
		options:  options,
		commands: make(chan func(*node, time.Time), options.QueueCapacity),
		done:     make(chan struct{}),
	}
	l.node = newNode(l)
	l.view.Store(l.node.publish(options.Clock.Now()))
	return l
}

// View returns the latest published view, which is never nil.
func (l *Loop) View() *View { return l.view.Load() }

// Run processes commands and ticks until the context ends, and then waits for
// calls in flight.
func (l *Loop) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer l.calls.Wait()
	defer cancel()
	defer close(l.done)
	n := l.node
	n.ctx = ctx
	ticks, stop := l.options.Clock.NewTicker(tickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			n.tick(l.options.Clock.Now())
		case command := <-l.commands:
			command(n, l.options.Clock.Now())
		}
		if n.changed {
			n.changed = false
			l.view.Store(n.publish(l.options.Clock.Now()))
		}
	}
}

// submit queues a command and blocks while the queue is full. It returns false if
// the loop or the context has ended.
func (l *Loop) submit(ctx context.Context, command func(*node, time.Time)) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// runForResult queues a command and returns its result. The only error is
// ErrStopped.
func runForResult[T any](ctx context.Context, l *Loop, command func(*node, time.Time) T) (T, error) {
	var zero T
	result := make(chan T, 1)
	queued := l.submit(ctx, func(n *node, now time.Time) { result <- command(n, now) })
	if !queued {
		return zero, ErrStopped
	}
	select {
	case value := <-result:
		return value, nil
	case <-l.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ErrStopped
	}
}

// runAndWait queues a command and waits until it has run. The only error is
// ErrStopped.
func (l *Loop) runAndWait(ctx context.Context, command func(*node, time.Time)) error {
	_, err := runForResult(ctx, l, func(n *node, now time.Time) struct{} {
		command(n, now)
		return struct{}{}
	})
	return err
}
