package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Meter counts the messages and bytes of control traffic on the wire, without TCP
// and IP headers. It implements stats.Handler and is safe for concurrent use.
type Meter struct {
	sentMessages, receivedMessages atomic.Uint64
	sentBytes, receivedBytes       atomic.Uint64
}

// Totals are the counts of a Meter.
type Totals struct {
	SentMessages, ReceivedMessages uint64
	SentBytes, ReceivedBytes       uint64
}

// Totals returns the counts since the Meter was created.
func (m *Meter) Totals() Totals {
	return Totals{
		SentMessages:     m.sentMessages.Load(),
		ReceivedMessages: m.receivedMessages.Load(),
		SentBytes:        m.sentBytes.Load(),
		ReceivedBytes:    m.receivedBytes.Load(),
	}
}

// TagRPC implements stats.Handler.
func (m *Meter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (m *Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m *Meter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (m *Meter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch v := s.(type) {
	case *stats.OutPayload:
		m.sentMessages.Add(1)
		m.sentBytes.Add(uint64(v.WireLength) + frameHeaderBytes)
	case *stats.InPayload:
		m.receivedMessages.Add(1)
		m.receivedBytes.Add(uint64(v.WireLength) + frameHeaderBytes)
	case *stats.InHeader:
		m.receivedBytes.Add(uint64(v.WireLength) + frameHeaderBytes)
	case *stats.InTrailer:
		m.receivedBytes.Add(uint64(v.WireLength) + frameHeaderBytes)
	}
}

// frameHeaderBytes is the length of an HTTP/2 frame header in bytes.
const frameHeaderBytes = 9
