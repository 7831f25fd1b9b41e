package caller

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/customer"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// TestKeys guards against requests without a valid key, against a customer that the caller
// names itself, and against a key that is passed on.
func TestKeys(t *testing.T) {
	keys := NewKeys([]customer.Customer{
		{Name: "app", Keys: []customer.KeyHash{customer.HashKey("k1"), customer.HashKey("k2")}},
		{Name: "jobs", Keys: []customer.KeyHash{customer.HashKey("k3")}},
	})
	tests := []struct {
		name     string
		keys     *Keys
		header   string
		status   int
		customer fleet.Customer
		kept     bool
	}{
		{"known", keys, "Authorization: Bearer k1\r\n", 200, "app", false},
		{"odd spelling", keys, "AUTHORIZATION:  bearer  k3\r\n", 200, "jobs", false},
		{"forged name", keys, "Authorization: Bearer k2\r\nGalenaridge-Tenant: jobs\r\n", 200, "app", false},
		{"unknown", keys, "Authorization: Bearer k9\r\nGalenaridge-Tenant: jobs\r\n", 401, "", false},
		{"missing", keys, "", 401, "", false},
		{"twice", keys, "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n", 401, "", false},
		{"empty list", NewKeys([]customer.Customer{}), "Authorization: Bearer k9\r\nGalenaridge-Tenant: jobs\r\n", 401, "", false},
		{"no list", NewKeys(nil), "Authorization: Bearer k9\r\nGalenaridge-Tenant: jobs\r\n", 200, "jobs", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			var got []exchange.Request
			_, address := start(t, func(_ context.Context, request exchange.Request, _ string) Result {
				mu.Lock()
				defer mu.Unlock()
				got = append(got, request)
				return doneResult("x")
			}, func(o *Options) { o.Keys = test.keys })
			c := dial(t, address)
			c.writeString("GET /svc/a HTTP/1.1\r\nHost: x\r\n" + test.header + "\r\n")
			response := c.readResponse(t, "GET")
			require.Equal(t, test.status, response.status, response.body)
			mu.Lock()
			defer mu.Unlock()
			if test.status != 200 {
				require.Empty(t, got)
				require.Equal(t, "Bearer", response.header.Get("WWW-Authenticate"))
				require.Equal(t, "not-run", response.header.Get("Galenaridge-Outcome"))
				require.NotContains(t, response.body, "k9")
				return
			}
			require.Equal(t, test.customer, got[0].Customer)
			kept := false
			for _, h := range got[0].Headers {
				kept = kept || h.Name == "Authorization"
			}
			require.Equal(t, test.kept, kept)
		})
	}
	require.Equal(t, []CustomerTotal{{Name: "app", Keys: 2, Requests: 2}, {Name: "jobs", Keys: 1, Requests: 1}}, keys.Totals())
}
