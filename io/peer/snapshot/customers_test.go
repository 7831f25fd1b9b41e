package snapshot

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"galenaridge/core/customer"
	"galenaridge/core/follow"
	"galenaridge/core/route"
	"galenaridge/io/peer/peerpb"
)

// TestCustomers guards against customers, limits and public routes that are lost between
// instances, and against keys that are sent.
func TestCustomers(t *testing.T) {
	urgent := customer.Priority(0)
	document := &route.Document{
		Version:      4,
		KeysRequired: true,
		Routes:       []route.Route{{Name: "r", Host: "h", Prefix: "/", Public: true}, {Name: "s", Host: "h", Prefix: "/s/"}},
		Customers: []customer.Customer{
			{Name: "a", Priority: &urgent, Rate: 0.5, Burst: 22.5, Keys: []customer.KeyHash{customer.HashKey("key-one"), customer.HashKey("key-two")}},
			{Name: "b"},
		},
	}
	encoded, err := encode(toRoutes(document))
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "key-one")
	decoded, err := NewClient().Decode(follow.Configuration, encoded)
	require.NoError(t, err)
	require.Equal(t, document, decoded.Routes)
}

// TestEmptyCustomers guards against a list of customers that is empty at one instance and
// missing at the next one, which then asks for no key.
func TestEmptyCustomers(t *testing.T) {
	for _, keysRequired := range []bool{true, false} {
		document := &route.Document{Version: 4, KeysRequired: keysRequired, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/"}}}
		encoded, err := encode(toRoutes(document))
		require.NoError(t, err)
		decoded, err := NewClient().Decode(follow.Configuration, encoded)
		require.NoError(t, err)
		require.Equal(t, document, decoded.Routes)
	}
}

// TestCustomersOfPeers guards against configurations of peers of earlier releases that
// cannot be read although they are clear, against those that open routes although they are
// not, and against a hash of the wrong length that becomes another key.
func TestCustomersOfPeers(t *testing.T) {
	whole := []*peerpb.RouteCustomer{{Name: "a", Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}}}
	tests := []struct {
		name         string
		customers    []*peerpb.RouteCustomer
		keys         *bool
		valid        bool
		keysRequired bool
	}{
		{"earlier release, no customers or an empty list", nil, nil, false, false},
		{"earlier release, customers", whole, nil, true, true},
		{"none", nil, proto.Bool(false), true, false},
		{"empty list", nil, proto.Bool(true), true, true},
		{"whole", whole, proto.Bool(true), true, true},
		{"customers without keys required", whole, proto.Bool(false), true, true},
		{"short hash", []*peerpb.RouteCustomer{{Name: "a", Keys: [][]byte{{1, 2}}}}, proto.Bool(true), false, false},
		{"long hash", []*peerpb.RouteCustomer{{Name: "a", Keys: [][]byte{bytes.Repeat([]byte{1}, 33)}}}, proto.Bool(true), false, false},
		{"no hash", []*peerpb.RouteCustomer{{Name: "a", Keys: [][]byte{nil}}}, proto.Bool(true), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := encode(&peerpb.Routes{Version: 3, Customers: test.customers, Keys: test.keys})
			require.NoError(t, err)
			listing, err := NewClient().Decode(follow.Configuration, encoded)
			require.Equal(t, test.valid, err == nil, "%v", err)
			if test.valid {
				require.Len(t, listing.Routes.Customers, len(test.customers))
				require.Equal(t, test.keysRequired, listing.Routes.KeysRequired)
			}
		})
	}
}
