package health_test

import (
	"fmt"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/health"
)

// Example detects a server that accepts a request and never responds.
func Example() {
	now := time.Unix(0, 0)
	detector := health.NewDetector(now, health.Options{
		Service: "plan-library", Detect: fleet.Fast, MaxDeadline: 2 * time.Second,
	})
	counters := health.NewCounters(now)
	counters.Start(0, now.Add(10*time.Millisecond))
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		readings := []health.Reading{{Server: "p1", Snapshot: counters.Snapshot(now)}}
		for _, request := range detector.Observe(now, readings, 30).EjectionRequests {
			fmt.Println("request a permit for", request.Server)
			detector.PermitGranted(now, request.Server)
		}
	}
	status, _ := detector.View().Status("p1")
	fmt.Println(status.Condition, status.Reason, status.Since.Sub(time.Unix(0, 0)))
	// Output:
	// request a permit for p1
	// ejected stalled 650ms
}
