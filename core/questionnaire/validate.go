package questionnaire

import (
	"fmt"
	"strings"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/problem"
)

// maxServers is far above the 5,400 servers that are expected over all services.
const maxServers = fleet.Servers(100_000)

// Validate returns a problem.List if the answers break a rule.
func Validate(a Answers) error {
	var c problem.Checker
	for i, s := range a.Services {
		checkService(&c, problem.IndexedPath("services", i), s)
	}
	checkDocument(&c, a)
	return c.Err()
}

func checkService(c *problem.Checker, path string, s Service) {
	problem.CheckRange(c, path+".servers", s.Servers, 1, maxServers)
	if s.Servers >= 1 {
		c.Require(
			s.Floor >= 1 && s.Floor <= s.Servers, path+".floor", s.Floor,
			fmt.Sprintf("1 to %d, the number of servers", s.Servers),
		)
	}
	listed := make(map[RequestPattern]string)
	checkRequests(c, path+".protected", s.Protected, listed)
	checkRequests(c, path+".idempotent", s.Idempotent, listed)
}

// checkRequests checks request patterns and that none of them is listed before. It adds
// them to listed, which maps a pattern to its path in the answers.
func checkRequests(c *problem.Checker, path string, requests []RequestPattern, listed map[RequestPattern]string) {
	for i, r := range requests {
		at := problem.IndexedPath(path, i)
		config.CheckRoute(c, at, r.Method, r.Path)
		if first, ok := listed[r]; ok {
			c.Add(at, r.Method+" "+r.Path, "a request that differs from "+first)
			continue
		}
		listed[r] = at
	}
}

// checkDocument applies the rules for documents to the document that is built from the
// answers. Fields have the same paths in both, except for routes, which are already
// checked as request patterns. The floor is already checked as well.
func checkDocument(c *problem.Checker, a Answers) {
	list, _ := problem.FromError(config.Validate(buildDocument(a, 1)))
	for _, p := range list {
		if !strings.Contains(p.Path, ".routes") && !strings.HasSuffix(p.Path, ".floor") {
			c.Add(p.Path, p.Value, p.Expected)
		}
	}
}
