package platform

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// TestOddEntries guards against a listing that is no longer followed, because another
// writer left one odd entry in it, and against the use of such an entry.
func TestOddEntries(t *testing.T) {
	const (
		server   = `{"id":"s-1","service":"a","domain":"d","address":"10.0.0.1:80","presence":"leaving"}`
		instance = `{"id":"i-1","domain":"d","peer":"10.0.0.2:1","caller":"10.0.0.2:2","presence":"live"}`
	)
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	tests := []struct {
		name    string
		odd     string
		leftOut int
	}{
		{"unknown presence", `{"id":"s-2","service":"a","address":"10.0.0.1:81","presence":"maybe"}`, 1},
		{"a number in place of a text", `{"id":7,"address":"10.0.0.1:81"}`, 1},
		{"a number that is too large", `{"id":"s-2","address":1e999}`, 1},
		{"a port out of range", `{"id":"s-2","address":"10.0.0.1:70000"}`, 1},
		{"port zero", `{"id":"s-2","address":"10.0.0.1:0"}`, 1},
		{"no address", `{"id":"s-2"}`, 1},
		{"no id", `{"address":"10.0.0.1:81"}`, 1},
		{"not an object", `[]`, 1},
		{"null", `null`, 1},
		{"deeply nested", nested, 1},
		{"a deeply nested id", `{"id":` + nested + `,"address":"10.0.0.1:81"}`, 1},
		{"a deeply nested unknown field", `{"more":` + nested + `,"id":"s-2","service":"a","address":"10.0.0.1:81"}`, 0},
		{"brackets in a text", `{"more":"]}]\\\"[","id":"s-2","service":"a","address":"10.0.0.1:81"}`, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := `{"revision":5,"instances":[` + instance + `,` + test.odd + `],"servers":[` + test.odd + `,` + server + `]}`
			listing, leftOut, err := decodeListing([]byte(text))
			require.NoError(t, err)
			require.Equal(t, fleet.Revision(5), listing.Revision)
			// An entry of a server is no entry of an instance.
			require.Equal(t, test.leftOut+1, leftOut)
			require.Equal(t, []fleet.ListedInstance{{ID: "i-1", Domain: "d", PeerAddress: "10.0.0.2:1", CallerAddress: "10.0.0.2:2"}}, listing.Instances)
			require.Equal(t, fleet.ListedServer{ID: "s-1", Service: "a", Domain: "d", Address: "10.0.0.1:80", Presence: fleet.Leaving}, listing.Servers[len(listing.Servers)-1])
			require.Len(t, listing.Servers, 2-test.leftOut)
		})
	}
}
