package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

// Example shows the only member of a fleet, which holds a server after the settle
// time and drains it when it is no longer wanted.
func Example() {
	now := time.Unix(0, 0)
	members := member.New(now, member.Options{ID: "i1", Domain: "khomas-a", Random: rand.New(rand.NewPCG(1, 2))})
	members.SetListing(now, fleet.Listing{
		Revision: 1, Instances: []fleet.ListedInstance{{ID: "i1", Domain: "khomas-a"}},
	})
	owners := ownership.New(ownership.Options{})
	owners.SetResources(now, []ownership.ResourceSpec{{
		Resource: fleet.ServerResource("credit-svc-1"), Domain: "khomas-a", LargestDeadline: 2 * time.Second,
	}})
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		members.Tick(now)
		owners.SetMembers(now, members.View())
		for _, resource := range owners.Tick(now, members.View().LeaseValid(now)).Acquired {
			fmt.Println("acquired", resource)
		}
	}
	for _, resource := range owners.SetResources(now, nil).Drain {
		fmt.Println("stop", resource, owners.View().Holds(resource, true))
		owners.HandleDrained(now, resource)
	}
	// Output:
	// acquired server/credit-svc-1
	// stop server/credit-svc-1 false
}
