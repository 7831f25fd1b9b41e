package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/fleet"
	"galenaridge/core/gateway"
	"galenaridge/core/workset"
	"galenaridge/io/peer/peerpb"
)

// maxDatagram is the largest datagram in bytes that is read.
const maxDatagram = 8 << 10

// Receiver takes what other instances send.
type Receiver interface {
	HandleHeartbeat(beat workset.Heartbeat)
	HandleReport(report gateway.Report)
}

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	log  logrus.FieldLogger
}

// Listen opens the socket for datagrams.
func Listen(address fleet.Address, log logrus.FieldLogger) (*Socket, error) {
	target, err := net.ResolveUDPAddr("udp4", string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "the peer address %s is not valid", address)
	}
	conn, err := net.ListenUDP("udp4", target)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen for datagrams on %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// SendHeartbeat sends a beat. Failures are logged at debug level: a lost datagram and an
// unreachable instance are the same to the sender.
func (l *Socket) SendHeartbeat(beat workset.Heartbeat, to []fleet.Address) {
	data, err := encodeBeat(beat)
	if err != nil {
		l.log.WithError(err).Error("a beat cannot be encoded")
		return
	}
	l.send(data, to)
}

// SendReport sends a report.
func (l *Socket) SendReport(report gateway.Report, to []fleet.Address) {
	data, err := encodeReport(report)
	if err != nil {
		l.log.WithError(err).Error("a report cannot be encoded")
		return
	}
	l.send(data, to)
}

func (l *Socket) send(data []byte, to []fleet.Address) {
	for _, address := range to {
		target, err := netip.ParseAddrPort(string(address))
		if err != nil {
			l.log.WithError(err).WithField("peer", address).Debug("a peer address is not valid")
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(data, target); err != nil {
			l.log.WithError(err).WithField("peer", address).Debug("a datagram was not sent")
		}
	}
}

// Run hands received datagrams on until Close.
func (l *Socket) Run(_ context.Context, receiver Receiver) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.WithError(err).Debug("a datagram was not read")
			continue
		}
		if err := deliver(buffer[:n], receiver); err != nil {
			l.log.WithError(err).Warn("a datagram cannot be read")
		}
	}
}

// deliver hands one datagram to the receiver.
func deliver(data []byte, receiver Receiver) error {
	var datagram peerpb.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		return eris.Wrap(err, "decoding a datagram")
	}
	switch body := datagram.GetBody().(type) {
	case *peerpb.Datagram_Beat:
		beat, err := decodeBeat(body.Beat)
		if err != nil {
			return err
		}
		receiver.HandleHeartbeat(beat)
	case *peerpb.Datagram_Report:
		report, err := decodeReport(body.Report)
		if err != nil {
			return err
		}
		receiver.HandleReport(report)
	default:
		return eris.New("the datagram has no body that is known")
	}
	return nil
}

// Close ends Run.
func (l *Socket) Close() error { return l.conn.Close() }
