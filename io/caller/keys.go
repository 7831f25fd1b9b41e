package caller

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
)

// Keys holds the customers that may send requests. It is immutable but for its counts, and
// safe for concurrent use.
type Keys struct {
	customers map[customer.KeyHash]*customerCounts
}

// customerCounts counts the requests of a customer.
type customerCounts struct {
	name     fleet.Customer
	keys     int
	requests atomic.Uint64
	refused  atomic.Uint64
}

// CustomerTotal is the number of requests of a customer since the start of the process.
type CustomerTotal struct {
	Name     fleet.Customer
	Keys     int
	Requests uint64
	Refused  uint64
}

// NewKeys returns the keys of customers, or nil if there is no list of customers: requests then
// need no key. With an empty list, no key is valid.
func NewKeys(customers []customer.Customer) *Keys {
	if customers == nil {
		return nil
	}
	k := &Keys{customers: make(map[customer.KeyHash]*customerCounts)}
	for _, c := range customers {
		counts := &customerCounts{name: c.Name, keys: len(c.Keys)}
		for _, key := range c.Keys {
			k.customers[key] = counts
		}
	}
	return k
}

// Totals returns the counts of all customers by name.
func (k *Keys) Totals() []CustomerTotal {
	if k == nil {
		return nil
	}
	totals := make(map[fleet.Customer]CustomerTotal)
	for _, c := range k.customers {
		totals[c.name] = CustomerTotal{Name: c.name, Keys: c.keys, Requests: c.requests.Load(), Refused: c.refused.Load()}
	}
	return slices.SortedFunc(maps.Values(totals), func(a, b CustomerTotal) int { return cmp.Compare(a.Name, b.Name) })
}

// count counts a finished request of a customer.
func (c *customerCounts) count(refused bool) {
	if c == nil {
		return
	}
	c.requests.Add(1)
	if refused {
		c.refused.Add(1)
	}
}
