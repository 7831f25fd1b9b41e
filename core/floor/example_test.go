package floor_test

import (
	"fmt"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/floor"
)

// Example ejects one of two failing servers, as the floor allows one ejection.
func Example() {
	now := time.Unix(0, 0)
	steward := floor.NewSteward(2)
	steward.Activate(now)
	steward.ExtendLease(now.Add(time.Hour))
	holder := floor.NewHolder(fleet.Member{ID: "gr-1"})
	usable := []fleet.ServerID{"c1", "c2", "c3"}
	requests := []floor.EjectionRequest{{Server: "c1", Severity: 1}, {Server: "c2", Severity: 3}}
	for range 8 {
		report := holder.BuildReport(now, usable, requests, 0)
		reply := steward.HandleReport(now, report)
		changes := holder.HandleReply(now, reply)
		fmt.Println(now.Unix(), report.Usable, reply.Decided, changes.Granted)
		now = now.Add(time.Second)
	}
	// Output:
	// 0 0 false []
	// 1 0 false []
	// 2 0 false []
	// 3 0 true []
	// 4 0 true []
	// 5 0 true []
	// 6 3 true [c2]
	// 7 3 true [c2]
}
