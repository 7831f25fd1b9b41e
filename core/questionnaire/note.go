package questionnaire

import (
	"fmt"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/problem"
)

// Note explains one number of a generated document.
type Note struct {
	// Path names the field, such as "services[2].floor".
	Path string
	Text string
}

// notes returns the notes on a document that was generated from answers.
func notes(a Answers, d config.Document, previous fleet.Version) []Note {
	list := []Note{
		{"version", fmt.Sprintf("one more than the previous version, %d", previous)},
		{"digest", "SHA-256 over the canonical form; changes with any value"},
	}
	for i, s := range a.Services {
		list = append(list, serviceNotes(problem.IndexedPath("services", i), s, len(a.Domains))...)
	}
	total := 0
	for _, t := range a.Customers {
		total += t.Weight
	}
	for i, t := range a.Customers {
		list = append(list, Note{
			problem.IndexedPath("tenants", i) + ".weight",
			fmt.Sprintf("%d of %d: %d%% of the slots when all tenants queue", t.Weight, total, 100*t.Weight/total),
		})
	}
	return append(list, limitNotes(a, d)...)
}

func serviceNotes(path string, s Service, domains int) []Note {
	return []Note{
		{path + ".slots", fmt.Sprintf("%d servers x %d slots = %d requests at a time", s.Servers, s.Slots, int(s.Servers)*int(s.Slots))},
		{path + ".conns", fmt.Sprintf("%d servers x %d connections = %d connections", s.Servers, s.Conns, int(s.Servers)*int(s.Conns))},
		{path + ".floor", floorNote(s, domains)},
		{path + ".deadline", "also the time after fencing until another instance claims a server"},
		{path + ".detect", "from the answer detect"},
	}
}

// floorNote states how many servers can be ejected at a time, normally and after the loss
// of a failure domain. It assumes that servers are spread evenly.
func floorNote(s Service, domains int) string {
	text := fmt.Sprintf("%d servers - floor %d = at most %d ejected at a time", s.Servers, s.Floor, s.Servers-s.Floor)
	if domains < 2 {
		return text
	}
	left := s.Servers - (s.Servers+fleet.Servers(domains)-1)/fleet.Servers(domains)
	return fmt.Sprintf("%s, and %d while one of %d failure domains is lost", text, max(0, left-s.Floor), domains)
}

func limitNotes(a Answers, d config.Document) []Note {
	longest := config.LongestDeadline(d)
	return []Note{
		{"limits.body", valueSource(a.Limits.MaxBodyBytes != 0) + "; bytes of a request or response body"},
		{"limits.header", valueSource(a.Limits.MaxHeaderBytes != 0) + "; bytes of a request header"},
		{"limits.assignment", valueSource(a.Limits.AssignmentTTL != 0) + "; a planned stop waits as long"},
		{
			"limits.token",
			fmt.Sprintf("%s; at least assignment %v + longest deadline %v = %v",
				valueSource(a.Limits.TokenTTL != 0), d.Limits.AssignmentTTL, longest, d.Limits.AssignmentTTL+longest),
		},
	}
}

// valueSource returns where the value of an optional field comes from.
func valueSource(answered bool) string {
	if answered {
		return "from the answers"
	}
	return "default"
}
