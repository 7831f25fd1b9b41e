package decisionlog

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"

	"galenaridge/core/fleet"
)

const (
	// queued is the number of lines that wait for a slow reader.
	queued = 512
	// perSecond bounds the lines of requests. A failed request is explained by
	// one line, and more than this many failures a second have one cause.
	perSecond = 200
	// sampled is how many ordinary requests share one line.
	sampled = 50
)

// Writer writes lines. Its methods may be called concurrently and never block.
type Writer struct {
	out      io.Writer
	clock    fleet.Clock
	instance string
	lines    chan []byte
	dropped  atomic.Int64
	ordinary atomic.Int64

	mu     sync.Mutex
	second int64
	used   int
}

// NewWriter returns a writer whose lines are written by Run.
func NewWriter(out io.Writer, clock fleet.Clock, instance fleet.InstanceID) *Writer {
	return &Writer{out: out, clock: clock, instance: string(instance), lines: make(chan []byte, queued)}
}

// Write writes a line, or counts it as dropped if too many wait.
func (w *Writer) Write(line Line) {
	line.Time = w.clock.Now().UTC()
	line.Instance = w.instance
	data, err := json.Marshal(line)
	if err != nil {
		w.dropped.Add(1)
		return
	}
	select {
	case w.lines <- append(data, '\n'):
	default:
		w.dropped.Add(1)
	}
}

// SampleRequest reports whether an ordinary request should be written.
func (w *Writer) SampleRequest() bool { return w.ordinary.Add(1)%sampled == 1 }

// AllowRequestLine reports whether another line of a request fits the limit of this second.
func (w *Writer) AllowRequestLine() bool {
	second := w.clock.Now().Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.used = second, 0
	}
	if w.used >= perSecond {
		w.dropped.Add(1)
		return false
	}
	w.used++
	return true
}

// TakeDropped returns the number of lines that were not written since the last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Run writes the lines until the context ends, and then those that still wait,
// for as long as the reader takes them within the given time.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put writes one line. A failed write cannot be logged anywhere and is counted.
func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// EncodedLines returns a writer for lines that are already encoded, such as those of a
// logger. It never blocks.
func (w *Writer) EncodedLines() io.Writer { return text{w} }

type text struct{ w *Writer }

// Write implements io.Writer.
func (t text) Write(p []byte) (int, error) {
	select {
	case t.w.lines <- append([]byte(nil), p...):
	default:
		t.w.dropped.Add(1)
	}
	return len(p), nil
}
