package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/problem"
)

// AnyMethod is the method of a route that matches every method.
const AnyMethod = "*"

// Methods lists the methods that a route can have, apart from AnyMethod.
var Methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Bounds of the numbers in a document.
const (
	minDeadline = 10 * time.Millisecond
	maxDeadline = 5 * time.Minute
	// maxSlots is the number of slots that a pool can hold for one server.
	maxSlots         = fleet.Slots(64)
	maxConns         = fleet.Conns(100_000)
	maxFloor         = fleet.Servers(100_000)
	maxWeight        = 1000
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 64 << 20
	minHeaderBytes   = 1 << 10
	maxHeaderBytes   = 1 << 20
	minAssignmentTTL = time.Second
	maxAssignmentTTL = 5 * time.Minute
	minTokenTTL      = 10 * time.Second
	maxTokenTTL      = 24 * time.Hour
)

// Validate returns a problem.List if the document breaks a rule. It does not
// check the digest.
func Validate(d Document) error {
	var c problem.Checker
	c.Require(d.Version > 0, "version", d.Version, "a whole number above 0")
	c.CheckName("deployment", d.Deployment)
	c.Require(len(d.Domains) > 0, "domains", "", "at least one failure domain")
	for i, domain := range d.Domains {
		c.CheckName(problem.IndexedPath("domains", i), string(domain))
	}
	problem.CheckUnique(&c, "domains", "", len(d.Domains), func(i int) fleet.Domain { return d.Domains[i] })
	c.Require(len(d.Services) > 0, "services", "", "at least one service")
	for i, s := range d.Services {
		checkService(&c, problem.IndexedPath("services", i), s)
	}
	problem.CheckUnique(&c, "services", ".name", len(d.Services), func(i int) fleet.ServiceName { return d.Services[i].Name })
	for i, t := range d.Customers {
		checkCustomer(&c, problem.IndexedPath("tenants", i), t)
	}
	problem.CheckUnique(&c, "tenants", ".name", len(d.Customers), func(i int) fleet.Customer { return d.Customers[i].Name })
	checkLimits(&c, d)
	return c.Err()
}

func checkService(c *problem.Checker, path string, s Service) {
	c.CheckName(path+".name", string(s.Name))
	problem.CheckRange(c, path+".slots", s.Slots, 1, maxSlots)
	problem.CheckRange(c, path+".conns", s.Conns, 1, maxConns)
	c.Require(int(s.Conns) >= int(s.Slots), path+".conns", s.Conns, fmt.Sprintf("at least the %d slots", s.Slots))
	problem.CheckRange(c, path+".floor", s.Floor, 1, maxFloor)
	c.CheckDuration(path+".deadline", s.Deadline, minDeadline, maxDeadline)
	c.Require(s.Detect.IsAPreference(), path+".detect", s.Detect, strings.Join(fleet.PreferenceStrings(), " or "))
	for i, r := range s.Routes {
		CheckRoute(c, problem.IndexedPath(path+".routes", i), r.Method, r.Path)
	}
	type request struct{ method, path string }
	problem.CheckUnique(c, path+".routes", "", len(s.Routes), func(i int) request {
		return request{s.Routes[i].Method, s.Routes[i].Path}
	})
}

// CheckRoute records the problems of the method and the path prefix of a route. The path
// names the route in its document, such as "services[2].routes[0]".
func CheckRoute(c *problem.Checker, path, method, prefix string) {
	c.Require(
		method == AnyMethod || slices.Contains(Methods, method),
		path+".method", method, "one of "+strings.Join(Methods, ", ")+" or "+AnyMethod,
	)
	c.Require(
		strings.HasPrefix(prefix, "/") && (prefix == "/" || !strings.HasSuffix(prefix, "/")) &&
			!isAmbiguous(prefix) && !strings.ContainsAny(prefix, "?#* \\"),
		path+".path", prefix, `a path such as "/swaps/place", without a query, an escape, an empty segment or a slash at the end`,
	)
}

func checkCustomer(c *problem.Checker, path string, t Customer) {
	c.CheckName(path+".name", string(t.Name))
	c.CheckName(path+".class", string(t.Class))
	problem.CheckRange(c, path+".weight", t.Weight, 1, maxWeight)
}

func checkLimits(c *problem.Checker, d Document) {
	problem.CheckRange(c, "limits.body", d.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	problem.CheckRange(c, "limits.header", d.Limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.CheckDuration("limits.assignment", d.Limits.AssignmentTTL, minAssignmentTTL, maxAssignmentTTL)
	c.CheckDuration("limits.token", d.Limits.TokenTTL, minTokenTTL, maxTokenTTL)
	// A token comes with an assignment and is used until the last request under it has
	// ended, so it must not expire before.
	requiredTokenTTL := d.Limits.AssignmentTTL + LongestDeadline(d)
	c.Require(d.Limits.TokenTTL >= requiredTokenTTL, "limits.token", d.Limits.TokenTTL,
		fmt.Sprintf("at least the assignment and the longest deadline together, %v", requiredTokenTTL))
}

// LongestDeadline returns the longest deadline of all services.
func LongestDeadline(d Document) time.Duration {
	longest := time.Duration(0)
	for _, s := range d.Services {
		longest = max(longest, s.Deadline)
	}
	return longest
}
