package setting

import (
	"net/netip"
	"net/url"
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/problem"
)

// Bounds of the numbers in settings.
const (
	maxDrain       = time.Hour
	minRecords     = 1_000
	maxRecords     = 10_000_000
	maxStoredBytes = 64 << 20
	minMemoryBytes = int64(1 << 20)
	maxMemoryBytes = int64(64 << 30)
)

const (
	listenRule    = `an address such as "127.0.0.1:8080"`
	addressRule   = `an address that others can dial, such as "10.0.0.7:8080"`
	advertiseRule = "the address that others dial, since the process listens on every address"
)

// check returns a problem.List of all invalid settings, or nil if there are none.
func check(s Settings) error {
	var c problem.Checker
	c.CheckName("id", string(s.ID))
	c.CheckName("domain", string(s.Domain))
	checkListen(&c, s.Listen)
	checkAdvertise(&c, "advertise.caller", s.Advertise.Caller, s.Listen.Caller)
	checkAdvertise(&c, "advertise.peer", s.Advertise.Peer, s.Listen.Peer)
	c.Require(len(s.Platform)+len(s.Seeds) > 0, "platform", "", "at least one URL of the platform, or a peer in seeds")
	for i, text := range s.Platform {
		c.Require(isURL(text), problem.IndexedPath("platform", i), text, `a URL such as "http://10.0.0.1:7000"`)
	}
	for i, seed := range s.Seeds {
		c.Require(isDialable(seed), problem.IndexedPath("seeds", i), seed, addressRule)
	}
	c.Require(s.Log.IsALevel(), "log", s.Log, "debug, info, warn or error")
	c.CheckDuration("drain", s.Drain, 0, maxDrain)
	checkVia(&c, s.Via)
	problem.CheckRange(&c, "limits.records", s.Limits.Records, minRecords, maxRecords)
	problem.CheckRange(&c, "limits.stored", s.Limits.Stored, 0, maxStoredBytes)
	problem.CheckRange(&c, "limits.memory", s.Limits.Memory, minMemoryBytes, maxMemoryBytes)
	checkCustomers(&c, s.Customers)
	return c.Err()
}

func checkListen(c *problem.Checker, l Listen) {
	listeners := []struct {
		path    string
		address fleet.Address
	}{
		{"listen.caller", l.Caller},
		{"listen.peer", l.Peer},
		{"listen.operator", l.Operator},
	}
	seen := make(map[fleet.Address]string)
	for _, listener := range listeners {
		address, err := netip.ParseAddrPort(string(listener.address))
		c.Require(err == nil, listener.path, listener.address, listenRule)
		if firstPath, ok := seen[listener.address]; ok && address.Port() != 0 {
			c.Add(listener.path, listener.address, "an address that differs from "+firstPath)
		}
		seen[listener.address] = listener.path
	}
	operator, err := netip.ParseAddrPort(string(l.Operator))
	c.Require(
		err != nil || operator.Addr().IsLoopback() || l.Expose, "listen.operator", l.Operator,
		"a loopback address, unless listen.expose is true",
	)
}

// checkAdvertise checks an advertised address. It may be empty unless the address
// listened on is unspecified, which others cannot dial.
func checkAdvertise(c *problem.Checker, path string, address, listen fleet.Address) {
	if address != "" {
		c.Require(isDialable(address), path, address, addressRule)
		return
	}
	parsed, err := netip.ParseAddrPort(string(listen))
	c.Require(err != nil || !parsed.Addr().IsUnspecified(), path, "", advertiseRule)
}

func checkVia(c *problem.Checker, via map[fleet.Address]fleet.Address) {
	addresses := make([]fleet.Address, 0, len(via))
	for address := range via {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	for _, address := range addresses {
		c.Require(isDialable(address), "via", address, addressRule+" as a key")
		c.Require(isDialable(via[address]), "via."+string(address), via[address], addressRule)
	}
}

// isDialable reports whether an address has a specified IP and a port above 0.
func isDialable(address fleet.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
		u.User == nil && u.RawQuery == "" && u.Fragment == ""
}
