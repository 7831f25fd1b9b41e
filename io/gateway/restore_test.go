package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/throttle"
)

// restoreBandwidth is the speed of the links of instances in Mbit/s, which is no limit here.
const restoreBandwidth throttle.Mbps = 100

func listingOfEra(era int) func(logLine) bool {
	return func(l logLine) bool { return l.Event == "list-read" && l.Era == era }
}

// serverListed matches an instance that has a live server since the store was at a revision. The
// change arrives by itself, or in a complete listing, which logs no line for each server.
func serverListed(id string, era, revision int) func(logLine) bool {
	return func(l logLine) bool {
		return l.Event == "server-changed" && l.Server == id && l.State == "live" ||
			l.Event == "list-read" && l.Era == era && l.Revision >= revision
	}
}

// TestRestoredStoreReachesAll guards against instances that stay in the old era of a store
// that returned to an older snapshot. Most instances do not read the store and learn of it
// from others.
func TestRestoredStoreReachesAll(t *testing.T) {
	const instances = 8
	f := startThrottledFleet(t, instances, restoreBandwidth)
	f.store.ReportEra(1)
	require.Eventually(t, func() bool { return len(f.log.instances(listingOfEra(1))) == instances }, 5*time.Second, 20*time.Millisecond, "the first era")
	time.Sleep(time.Second)
	taken := time.Now()
	time.Sleep(20 * time.Millisecond)
	for range 20 {
		f.store.Put("servers/i-2", serverEntry("ready"))
	}
	changed := int(f.store.Revision())
	require.Eventually(t, func() bool { return len(f.log.instances(serverListed("i-2", 1, changed))) == instances }, 5*time.Second, 20*time.Millisecond, "a change before the restore")
	f.store.Restore(time.Since(taken))
	require.Eventually(t, func() bool { return len(f.log.instances(listingOfEra(2))) == instances }, 5*time.Second, 20*time.Millisecond, "the new era")
	f.store.Put("servers/i-3", serverEntry("ready"))
	changed = int(f.store.Revision())
	require.Eventually(t, func() bool { return len(f.log.instances(serverListed("i-3", 2, changed))) == instances }, applyBound, 20*time.Millisecond, "a change after the restore, under a lower revision")
}
