package beat

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
	"galenaridge/core/workset"
)

// maxDatagram is the largest datagram in bytes that is read.
const maxDatagram = 8 << 10

// Receiver takes beats of other instances.
type Receiver interface {
	Heard(beat workset.Beat)
}

// Link sends and receives beats.
type Link struct {
	conn *net.UDPConn
	log  logrus.FieldLogger
}

// Listen opens the socket for datagrams.
func Listen(address fleet.Address, log logrus.FieldLogger) (*Link, error) {
	target, err := net.ResolveUDPAddr("udp4", string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "the peer address %s is not valid", address)
	}
	conn, err := net.ListenUDP("udp4", target)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen for datagrams on %s", address)
	}
	return &Link{conn: conn, log: log}, nil
}

// Send sends a beat. Failures are logged at debug level: a lost datagram and an
// unreachable instance are the same to the sender.
func (l *Link) Send(beat workset.Beat, to []fleet.Address) {
	data, err := Encode(beat)
	if err != nil {
		l.log.WithError(err).Error("a beat cannot be encoded")
		return
	}
	for _, address := range to {
		target, err := netip.ParseAddrPort(string(address))
		if err != nil {
			l.log.WithError(err).WithField("peer", address).Debug("a peer address is not valid")
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(data, target); err != nil {
			l.log.WithError(err).WithField("peer", address).Debug("a beat was not sent")
		}
	}
}

// Run hands received beats on until Close.
func (l *Link) Run(_ context.Context, receiver Receiver) error {
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
		beat, err := Decode(buffer[:n])
		if err != nil {
			l.log.WithError(err).Warn("a datagram is no beat")
			continue
		}
		receiver.Heard(beat)
	}
}

// Close ends Run.
func (l *Link) Close() error { return l.conn.Close() }
