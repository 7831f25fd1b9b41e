package port

import (
	"net"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// Reservation holds a port by a bound socket that does not listen. The kernel does
// not assign the port to a listener on port 0 or to an outgoing connection. A
// process that listens on the port explicitly can do so, because both sockets
// set SO_REUSEADDR.
type Reservation struct {
	fd      int
	address fleet.Address
}

// Reserve reserves the port of an IPv4 address; port 0 selects a free port. It
// fails if the port is in use or reserved.
func Reserve(address fleet.Address) (*Reservation, error) {
	requested, err := netip.ParseAddrPort(string(address))
	if err != nil || !requested.Addr().Is4() {
		return nil, eris.Errorf("reserve %q: not an IPv4 address with a port", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "open a socket")
	}
	bound, err := bind(fd, requested)
	if err != nil {
		_ = syscall.Close(fd)
		return nil, eris.Wrapf(err, "reserve %s", address)
	}
	return &Reservation{fd: fd, address: bound}, nil
}

// bind binds the socket and returns its address. It sets SO_REUSEADDR only after
// the bind, so that the bind is exclusive and no port is reserved twice.
func bind(fd int, requested netip.AddrPort) (fleet.Address, error) {
	err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(requested.Port()), Addr: requested.Addr().As4()})
	if err != nil {
		return "", err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	number := strconv.Itoa(name.(*syscall.SockaddrInet4).Port)
	return fleet.Address(net.JoinHostPort(requested.Addr().String(), number)), nil
}

// Address returns the reserved address with its port.
func (r *Reservation) Address() fleet.Address { return r.address }

// Release closes the socket, so that the port is free for others.
func (r *Reservation) Release() { _ = syscall.Close(r.fd) }
