package config_test

import (
	"fmt"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
)

// Example adopts a newer configuration and ignores an older one, which a platform offers
// that has reverted to an earlier state.
func Example() {
	document := func(version fleet.Version) config.Document {
		d := config.Document{
			Version: version, Deployment: "kuvuka", Domains: []fleet.Domain{"khomas-a"},
			Services: []config.Service{{
				Name: "credit-svc", Slots: 4, Conns: 330, Floor: 4, Deadline: 2 * time.Second,
				Routes: []config.Route{{Method: "GET", Path: "/payouts", Protected: true}},
			}},
			Limits: config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
		}
		d.Digest = config.DigestOf(d)
		return d
	}
	state := config.NewState()
	for _, version := range []fleet.Version{7, 8, 7, 8} {
		fmt.Println(version, state.Offer(document(version)).Verdict, "in force:", state.View().Version())
	}
	view := state.View()
	fmt.Println(view.Protected("credit-svc", "GET", "/payouts/1"), view.Protected("credit-svc", "GET", "/balance"))
	// Output:
	// 7 adopted in force: 7
	// 8 adopted in force: 8
	// 7 older in force: 8
	// 8 same in force: 8
	// true false
}
