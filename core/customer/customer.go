package customer

import (
	"errors"
	"fmt"
	"math"

	"galenaridge/core/fleet"
)

// Priority ranks customers; 0 is the most urgent.
type Priority int

// Rate is a number of requests per second.
type Rate float64

// Burst is a number of requests.
type Burst float64

// Customer is a customer of the operator.
type Customer struct {
	Name fleet.Customer
	// Priority replaces the priority of the route; nil leaves that in force.
	Priority *Priority
	// Rate and Burst bound the requests of the customer over all instances. A rate of zero
	// means no limit.
	Rate  Rate
	Burst Burst
	// Keys are the hashes of the keys that are valid for the customer.
	Keys []KeyHash
}

// ErrInvalid is wrapped by all errors of Validate.
var ErrInvalid = errors.New("the customers are not valid")

// Validate returns an error that wraps ErrInvalid if a customer is invalid or if two
// customers share a name or a key.
func Validate(customers []Customer) error {
	names := make(map[fleet.Customer]bool, len(customers))
	owners := make(map[KeyHash]fleet.Customer, len(customers))
	for i := range customers {
		c := &customers[i]
		if err := c.validate(); err != nil {
			return fmt.Errorf("%w: customer %d: %w", ErrInvalid, i+1, err)
		}
		if names[c.Name] {
			return fmt.Errorf("%w: two customers have the name %q", ErrInvalid, c.Name)
		}
		names[c.Name] = true
		for _, key := range c.Keys {
			if owner, known := owners[key]; known && owner != c.Name {
				return fmt.Errorf("%w: customers %q and %q share a key", ErrInvalid, owner, c.Name)
			}
			owners[key] = c.Name
		}
	}
	return nil
}

func (c *Customer) validate() error {
	if c.Name == "" {
		return errors.New("the name is missing")
	}
	for i := range len(c.Name) {
		// The name is sent to servers in a header field.
		if c.Name[i] < ' ' || c.Name[i] == 0x7f {
			return fmt.Errorf("the name %q has a control character", c.Name)
		}
	}
	if c.Priority != nil && *c.Priority < 0 {
		return fmt.Errorf("priority %d of %q is negative", *c.Priority, c.Name)
	}
	if !isLimit(float64(c.Rate)) || !isLimit(float64(c.Burst)) {
		return fmt.Errorf("rate %g or burst %g of %q is negative or not a number", c.Rate, c.Burst, c.Name)
	}
	return nil
}

// isLimit reports whether a number can be a limit. NaN and infinity can only come from a
// faulty copy, as JSON has neither.
func isLimit(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }
