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
	// queueCapacity is the number of lines that may wait for a slow output.
	queueCapacity = 512
	// maxRequestLinesPerSecond bounds the lines about requests. Each failed request
	// has one line, and more failures than this per second have a common cause.
	maxRequestLinesPerSecond = 200
	// sampleInterval is the sampling rate: one in 50 ordinary requests is logged.
	sampleInterval = 50
)

// Writer queues lines, which Run writes to an output. Its methods other than Run
// are safe for concurrent use and never wait for the output.
type Writer struct {
	out              io.Writer
	clock            fleet.Clock
	instance         string
	queue            chan []byte
	dropped          atomic.Int64
	ordinaryRequests atomic.Int64

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
}

// NewWriter returns a writer with an empty queue. Nothing is written until Run.
func NewWriter(out io.Writer, clock fleet.Clock, instance fleet.InstanceID) *Writer {
	return &Writer{out: out, clock: clock, instance: string(instance), queue: make(chan []byte, queueCapacity)}
}

// Write sets the time and instance of a line and queues it. It drops the line and
// counts it as dropped if the queue is full.
func (w *Writer) Write(line Line) {
	line.Time = w.clock.Now().UTC()
	line.Instance = w.instance
	data, err := json.Marshal(line)
	if err != nil {
		w.dropped.Add(1)
		return
	}
	select {
	case w.queue <- append(data, '\n'):
	default:
		w.dropped.Add(1)
	}
}

// SampleRequest reports whether an ordinary request should be logged, which is the
// case for one in sampleInterval.
func (w *Writer) SampleRequest() bool { return w.ordinaryRequests.Add(1)%sampleInterval == 1 }

// AllowRequestLine reports whether another line about a request is within the limit
// of this second, and counts the line as used or as dropped.
func (w *Writer) AllowRequestLine() bool {
	second := w.clock.Now().Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.currentSecond {
		w.currentSecond, w.linesThisSecond = second, 0
	}
	if w.linesThisSecond >= maxRequestLinesPerSecond {
		w.dropped.Add(1)
		return false
	}
	w.linesThisSecond++
	return true
}

// TakeDropped returns the number of lines dropped since the last call, and resets the count.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Run writes queued lines until the context ends, and then the lines that are
// still in the queue. It waits while the output is blocked.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		case <-ctx.Done():
			w.drainQueue()
			return
		}
	}
}

func (w *Writer) drainQueue() {
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		default:
			return
		}
	}
}

// writeOut writes one line to the output. A line whose write fails is counted as
// dropped, since the failure cannot be logged.
func (w *Writer) writeOut(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// EncodedLines returns an io.Writer that queues lines that are already encoded, such
// as the lines of a logger. Each call of Write must pass whole lines. It never
// blocks.
func (w *Writer) EncodedLines() io.Writer { return encodedLines{w} }

type encodedLines struct{ writer *Writer }

// Write implements io.Writer.
func (e encodedLines) Write(p []byte) (int, error) {
	select {
	case e.writer.queue <- append([]byte(nil), p...):
	default:
		e.writer.dropped.Add(1)
	}
	return len(p), nil
}
