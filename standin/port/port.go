package port

import (
	"net"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// Reservation keeps a port bound by a socket that does not listen. The kernel
// gives the port to nobody who asks for any port, neither to listen nor to
// connect, while a process that names the port may listen at it, because both
// sockets allow the reuse of the address.
type Reservation struct {
	socket  int
	address fleet.Address
}

// Reserve reserves an IPv4 address; port 0 takes a free one. It fails if the
// port is in use or reserved.
func Reserve(address fleet.Address) (*Reservation, error) {
	wanted, err := netip.ParseAddrPort(string(address))
	if err != nil || !wanted.Addr().Is4() {
		return nil, eris.Errorf("reserve %q: not an IPv4 address with a port", address)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "open a socket")
	}
	bound, err := bind(socket, wanted)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, eris.Wrapf(err, "reserve %s", address)
	}
	return &Reservation{socket: socket, address: bound}, nil
}

// bind binds the socket first and allows reuse after that: in this order the
// bind itself is exclusive, so that no port is reserved twice.
func bind(socket int, wanted netip.AddrPort) (fleet.Address, error) {
	err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: int(wanted.Port()), Addr: wanted.Addr().As4()})
	if err != nil {
		return "", err
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	number := strconv.Itoa(name.(*syscall.SockaddrInet4).Port)
	return fleet.Address(net.JoinHostPort(wanted.Addr().String(), number)), nil
}

// Address returns the reserved address with its port.
func (r *Reservation) Address() fleet.Address { return r.address }

// Release gives the port back.
func (r *Reservation) Release() { _ = syscall.Close(r.socket) }
