package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/quota"
)

// Gateway holds the settings of an instance on a machine platform. The adapter of
// the platform reads them.
type Gateway struct {
	ID     fleet.InstanceID
	Domain fleet.Domain
	Listen GatewayListen
	// Seeds are peer addresses for the discovery of other instances. They may be
	// stale, and the instance's own address may be among them.
	Seeds []fleet.Address
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress fleet.Address
	// FirstStart is true if the whole fleet starts for the first time, when there are
	// no callers yet.
	FirstStart bool
	Bounds     Bounds
	Capacity   Capacity
	Peers      PeerLimits
}

// GatewayListen holds the addresses that the instance listens on. Ready and
// Directory may be empty.
type GatewayListen struct {
	Caller    fleet.Address
	Ready     fleet.Address
	Directory fleet.Address
	// Peer is the address for datagrams and snapshots of other instances.
	Peer fleet.Address
	// Operator is the address for metrics and state.
	Operator fleet.Address
}

// Bounds holds the limits that operators guarantee to their callers.
type Bounds struct {
	// GracePeriod is the time between the termination signal and the kill.
	GracePeriod time.Duration
	// AssignmentTTL is the longest time for which callers use assigned addresses.
	AssignmentTTL time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the repeats (retries and
	// hedges) of all instances together: in any window at most RetryRatio times the
	// number of requests, plus RetryAllowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// SettleTime is the time after the end of a disruption from which on the guarantees with a
	// bound in time hold again.
	SettleTime time.Duration
	// Floor is the share of the servers of a service that are kept in use, whatever is
	// estimated of them.
	Floor float64
	// RevokeFailClosed is set if requests that need a key are refused once the
	// configuration has not been confirmed for RevokeAge. Otherwise the last configuration
	// stays in force.
	RevokeFailClosed bool
	RevokeAge        time.Duration
	// Quota states how exactly the quotas of customers are kept. There are no quotas if its
	// window is zero.
	Quota quota.Bounds
}

// Capacity holds the resources of the machine.
type Capacity struct {
	// Cores is the processor time, in cores of normal speed.
	Cores float64
	// LinkMbps is the bandwidth of the network link in megabits per second.
	LinkMbps float64
	// MemoryMB is the memory that the process may use in megabytes; zero if it is not
	// known.
	MemoryMB float64
	// MaxDescriptors is the number of descriptors that the process may open; zero if it is
	// not known.
	MaxDescriptors int
}

// PeerLimits bounds what callers, servers and other instances can make the process hold.
type PeerLimits struct {
	// MemoryShare is the share of the memory that large messages may take, and ReserveShare
	// the further share that only small ones and connections may take.
	MemoryShare  float64
	ReserveShare float64
	// MinRate is the lowest rate at which callers must send bodies and read responses.
	MinRate fleet.Bandwidth
	// ReservedDescriptors are not used for connections.
	ReservedDescriptors int
	// CallerShare is the share of the other descriptors for connections of callers.
	CallerShare float64
}

// DefaultPeerLimits returns the limits for a platform that does not set them.
func DefaultPeerLimits() PeerLimits {
	return PeerLimits{
		MemoryShare:         0.4,
		ReserveShare:        0.04,
		MinRate:             16_000,
		ReservedDescriptors: 200,
		CallerShare:         0.75,
	}
}

// check returns an error that names the first limit that is invalid.
func (l PeerLimits) check() error {
	switch {
	case l.MemoryShare <= 0 || l.ReserveShare < 0 || l.MemoryShare+l.ReserveShare > 1:
		return fmt.Errorf("the shares of the memory must be positive and at most 1 together: %g and %g", l.MemoryShare, l.ReserveShare)
	case l.MinRate <= 0:
		return fmt.Errorf("the lowest rate of transfers must be positive: %g", float64(l.MinRate))
	case l.ReservedDescriptors < 0:
		return fmt.Errorf("the number of reserved descriptors must not be negative: %d", l.ReservedDescriptors)
	case l.CallerShare <= 0 || l.CallerShare > maxCallerShare:
		return fmt.Errorf("the share of descriptors for callers must be positive and at most %g: %g", maxCallerShare, l.CallerShare)
	default:
		return nil
	}
}

// maxCallerShare leaves descriptors for servers, the directory, peers and operators.
const maxCallerShare = 0.9

// DefaultBounds returns the bounds for a platform that does not set them.
func DefaultBounds() Bounds {
	return Bounds{
		GracePeriod:    6 * time.Second,
		AssignmentTTL:  5 * time.Second,
		RetryRatio:     0.1,
		RetryWindow:    10 * time.Second,
		RetryAllowance: 10,
		SettleTime:     3 * time.Second,
		Floor:          0.7,
		RevokeAge:      5 * time.Second,
	}
}

// minQuotaWindow and maxQuotaWindow bound the window of quotas, since the instances tell each
// other what they admitted only every 0.1 s.
const (
	minQuotaWindow = time.Second
	maxQuotaWindow = time.Hour
)

// Check returns an error that names the first setting that is missing or invalid.
func (g Gateway) Check() error {
	if g.ID == "" || g.Domain == "" {
		return errors.New("the settings lack the name or the failure domain of the instance")
	}
	required := []struct {
		name    string
		address fleet.Address
	}{
		{"caller", g.Listen.Caller},
		{"peer", g.Listen.Peer},
		{"store", g.StoreAddress},
	}
	for _, r := range required {
		if _, err := netip.ParseAddrPort(string(r.address)); err != nil {
			return fmt.Errorf("the %s address %q is not valid: %w", r.name, r.address, err)
		}
	}
	if g.Bounds.RetryWindow <= 0 || g.Bounds.GracePeriod <= 0 {
		return fmt.Errorf("the bounds must be positive: retry window %v, grace %v", g.Bounds.RetryWindow, g.Bounds.GracePeriod)
	}
	if g.Bounds.SettleTime <= 0 {
		return fmt.Errorf("the time until the guarantees hold again must be positive: %v", g.Bounds.SettleTime)
	}
	if q := g.Bounds.Quota; q.Window != 0 && (q.Window < minQuotaWindow || q.Window > maxQuotaWindow) || !(q.Overage >= 0) || !(q.Tolerance >= 0) {
		return fmt.Errorf("the window of the quotas must be 0 or from %v to %v, their overage and tolerance not negative: %v, %g, %g", minQuotaWindow, maxQuotaWindow, q.Window, q.Overage, q.Tolerance)
	}
	if g.Bounds.RevokeFailClosed && g.Bounds.RevokeAge <= 0 {
		return fmt.Errorf("the age after which keys are refused must be positive: %v", g.Bounds.RevokeAge)
	}
	if g.Bounds.Floor < 0 || g.Bounds.Floor > 1 {
		return fmt.Errorf("the floor must be a share from 0 to 1: %g", g.Bounds.Floor)
	}
	return g.Peers.check()
}
