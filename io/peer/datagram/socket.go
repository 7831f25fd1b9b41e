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

// maxDatagramBytes is the size of the receive buffer; longer datagrams are
// truncated.
const maxDatagramBytes = 8 << 10

// Receiver handles messages from other instances. Its methods are called from
// Run.
type Receiver interface {
	HandleHeartbeat(heartbeat workset.Heartbeat)
	HandleReport(report gateway.Report)
}

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	log  logrus.FieldLogger
}

// Listen opens a socket on a UDP address.
func Listen(address fleet.Address, log logrus.FieldLogger) (*Socket, error) {
	target, err := net.ResolveUDPAddr("udp4", string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "invalid peer address %s", address)
	}
	conn, err := net.ListenUDP("udp4", target)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen for datagrams on %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// SendHeartbeat sends a heartbeat to each address. Failures are logged at debug
// level only, since the sender cannot tell a lost datagram from an unreachable
// instance in any case.
func (s *Socket) SendHeartbeat(heartbeat workset.Heartbeat, to []fleet.Address) {
	data, err := encodeHeartbeat(heartbeat)
	if err != nil {
		s.log.WithError(err).Error("cannot encode a heartbeat")
		return
	}
	s.send(data, to)
}

// SendReport sends a report to each address. Failures are logged at debug level.
func (s *Socket) SendReport(report gateway.Report, to []fleet.Address) {
	data, err := encodeReport(report)
	if err != nil {
		s.log.WithError(err).Error("cannot encode a report")
		return
	}
	s.send(data, to)
}

func (s *Socket) send(data []byte, to []fleet.Address) {
	for _, address := range to {
		target, err := netip.ParseAddrPort(string(address))
		if err != nil {
			s.log.WithError(err).WithField("peer", address).Debug("cannot parse the address of a peer")
			continue
		}
		if _, err := s.conn.WriteToUDPAddrPort(data, target); err != nil {
			s.log.WithError(err).WithField("peer", address).Debug("cannot send a datagram")
		}
	}
}

// Run passes received messages to the receiver until Close.
func (s *Socket) Run(_ context.Context, receiver Receiver) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).Debug("cannot read from the datagram socket")
			continue
		}
		if err := deliver(buffer[:n], receiver); err != nil {
			s.log.WithError(err).Warn("dropped an invalid datagram")
		}
	}
}

// deliver decodes a datagram and passes its message to the receiver.
func deliver(data []byte, receiver Receiver) error {
	var datagram peerpb.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		return eris.Wrap(err, "cannot decode a datagram")
	}
	switch body := datagram.GetBody().(type) {
	case *peerpb.Datagram_Beat:
		heartbeat, err := decodeHeartbeat(body.Beat)
		if err != nil {
			return err
		}
		receiver.HandleHeartbeat(heartbeat)
	case *peerpb.Datagram_Report:
		report, err := decodeReport(body.Report)
		if err != nil {
			return err
		}
		receiver.HandleReport(report)
	default:
		return eris.New("datagram has no body of a known type")
	}
	return nil
}

// Close closes the socket, which ends Run.
func (s *Socket) Close() error { return s.conn.Close() }
