package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/listing"
)

// largeListing returns a listing of the size that docs/CAPACITY.md plans for.
func largeListing() fleet.Listing {
	const instances, servers, services, domains = 400, 5400, 210, 10
	list := fleet.Listing{Revision: 1}
	for i := range instances {
		list.Instances = append(list.Instances, fleet.ListedInstance{
			ID:            fleet.InstanceID(fmt.Sprintf("instance-%d", i)),
			Domain:        fleet.Domain(fmt.Sprintf("domain-%d", i%domains)),
			PeerAddress:   fleet.Address(fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250)),
			CallerAddress: fleet.Address(fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)),
		})
	}
	for i := range servers {
		list.Servers = append(list.Servers, fleet.ListedServer{
			ID:      fleet.ServerID(fmt.Sprintf("service-%d-%d", i%services, i/services)),
			Service: fleet.ServiceName(fmt.Sprintf("service-%d", i%services)),
			Domain:  fleet.Domain(fmt.Sprintf("domain-%d", i%domains)),
			Address: fleet.Address(fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)),
		})
	}
	return list
}

// BenchmarkListing measures the change of one server in a large listing: the size
// on the wire of the whole listing and of the delta, and the time to compute the
// delta.
func BenchmarkListing(b *testing.B) {
	before := largeListing()
	after := largeListing()
	after.Revision++
	after.Servers[17].Presence = fleet.Leaving
	b.Run("whole", func(b *testing.B) { reportSizes(b, after) })
	b.Run("delta", func(b *testing.B) { reportSizes(b, listing.Diff(before, after)) })
	b.Run("between", func(b *testing.B) {
		for b.Loop() {
			listing.Diff(before, after)
		}
	})
}

// reportSizes measures the encoding of a value and reports its plain and
// compressed sizes.
func reportSizes(b *testing.B, value any) {
	var plain, packed int
	for b.Loop() {
		encoded, err := json.Marshal(value)
		require.NoError(b, err)
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		_, err = w.Write(encoded)
		require.NoError(b, err)
		require.NoError(b, w.Close())
		plain, packed = len(encoded), out.Len()
	}
	b.ReportMetric(float64(plain), "plain-bytes")
	b.ReportMetric(float64(packed), "gzip-bytes")
}
