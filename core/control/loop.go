package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Loop owns the control state of one instance.
type Loop struct {
	options  Options
	commands chan func(*node, time.Time)
	view     atomic.Pointer[View]
	senders  conc.WaitGroup
	done     chan struct{}
	node     *node
}

// New returns a loop whose view is published but which does not run yet.
func New(options Options) *Loop {
	if options.QueueCapacity <= 0 {
		options.QueueCapacity = defaultQueue
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

// View returns the last published view; it is never nil.
func (l *Loop) View() *View { return l.view.Load() }

// Run owns the control state until the context ends, and then waits for
// messages in flight.
func (l *Loop) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer l.senders.Wait()
	defer cancel()
	defer close(l.done)
	n := l.node
	n.ctx = ctx
	ticks, stop := l.options.Clock.NewTicker(tickEvery)
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

// submit queues a command; it waits while the queue is full, and reports false
// once the loop has ended.
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

// ask queues a command and waits for its result.
func ask[T any](ctx context.Context, l *Loop, command func(*node, time.Time) T) (T, error) {
	var none T
	result := make(chan T, 1)
	queued := l.submit(ctx, func(n *node, now time.Time) { result <- command(n, now) })
	if !queued {
		return none, ErrStopped
	}
	select {
	case value := <-result:
		return value, nil
	case <-l.done:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ErrStopped
	}
}

// tell queues a command and waits until it has run.
func (l *Loop) tell(ctx context.Context, command func(*node, time.Time)) error {
	_, err := ask(ctx, l, func(n *node, now time.Time) struct{} {
		command(n, now)
		return struct{}{}
	})
	return err
}
