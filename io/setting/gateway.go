package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"galenaridge/core/fleet"
)

// Gateway is everything that an instance on a machine platform is told at its
// start. The adapter of the platform fills it in.
type Gateway struct {
	ID     fleet.InstanceID
	Domain fleet.Domain
	Listen GatewayListen
	// Seeds are peer addresses of instances that may know others. They may be
	// stale, and the own one may be among them.
	Seeds []fleet.Address
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress fleet.Address
	// FirstStart says that the whole fleet starts for the first time, when callers are
	// not there yet.
	FirstStart bool
	Bounds     Bounds
	Capacity   Capacity
}

// GatewayListen holds the addresses that the instance listens on. Those for
// readiness and directory may be empty.
type GatewayListen struct {
	Caller    fleet.Address
	Ready     fleet.Address
	Directory fleet.Address
	// Peer takes datagrams and snapshots of other instances.
	Peer fleet.Address
	// Operator serves metrics and state.
	Operator fleet.Address
}

// Bounds holds what operators promise their callers.
type Bounds struct {
	// GracePeriod is the time between the end signal and the kill.
	GracePeriod time.Duration
	// AssignmentTTL is the longest time that callers keep addresses.
	AssignmentTTL time.Duration
	// RetryRatio, RetrySpan and RetryAllowance bound the repeats of all
	// instances together: in any span at most the ratio of the requests and the
	// allowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
}

// Capacity is what the machine offers.
type Capacity struct {
	// Cores is processor time in cores of normal speed.
	Cores float64
	// LinkMbps is the bandwidth of its link in megabits a second.
	LinkMbps float64
}

// DefaultBounds returns the bounds for a platform that does not state them.
func DefaultBounds() Bounds {
	return Bounds{
		GracePeriod:    6 * time.Second,
		AssignmentTTL:  5 * time.Second,
		RetryRatio:     0.1,
		RetryWindow:    10 * time.Second,
		RetryAllowance: 10,
	}
}

// Check returns an error that names the first setting that is missing or wrong.
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
	return nil
}
