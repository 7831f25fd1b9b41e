package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// Example starts a fleet of one instance, which is its own witness, and shows that
// its lease lapses during a pause.
func Example() {
	now := time.Unix(0, 0)
	state := member.New(now, member.Options{
		ID: "i1", Domain: "khomas-a", PeerAddress: "10.0.0.1:8081", Random: rand.New(rand.NewPCG(1, 2)),
	})
	state.SetListing(now, fleet.Listing{
		Revision:  1,
		Instances: []fleet.ListedInstance{{ID: "i1", Domain: "khomas-a", PeerAddress: "10.0.0.1:8081"}},
	})
	for range 4 {
		now = now.Add(50 * time.Millisecond)
		for _, event := range state.Tick(now).Events {
			fmt.Println(event.Kind, event.Member.ID)
		}
	}
	view := state.View()
	fmt.Println(view.Self().Status, view.LeaseValid(now), view.LeaseValid(now.Add(3*time.Second)))
	// Output:
	// joined i1
	// active true false
}
