package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// BenchmarkDecodeList measures the decoding of the platform's listing at the size
// expected in two years: 400 instances and 5,400 servers of 210 services.
func BenchmarkDecodeList(b *testing.B) {
	list := fleet.Listing{Revision: 1}
	for i := range 400 {
		list.Instances = append(list.Instances, fleet.ListedInstance{
			ID: fleet.InstanceID(fmt.Sprintf("domain-%d-instance-%d", i%10, i)), Domain: fleet.Domain(fmt.Sprintf("domain-%d", i%10)),
			PeerAddress: "10.100.100.100:8081", CallerAddress: "10.100.100.100:8080",
		})
	}
	for i := range 5400 {
		list.Servers = append(list.Servers, fleet.ListedServer{
			ID: fleet.ServerID(fmt.Sprintf("service-%d-%d", i%210, i)), Service: fleet.ServiceName(fmt.Sprintf("service-%d", i%210)),
			Domain: fleet.Domain(fmt.Sprintf("domain-%d", i%10)), Address: "10.100.100.100:9000",
		})
	}
	encoded, err := json.Marshal(list)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := decodeListing(encoded)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(encoded)), "list-bytes")
}
