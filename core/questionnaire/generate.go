package questionnaire

import (
	"cmp"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
)

// Defaults of the optional limits.
const (
	defaultBody       = 1 << 20
	defaultHeader     = 16 << 10
	defaultAssignment = 5 * time.Second
	defaultToken      = 10 * time.Minute
)

// Draft is a generated document and the notes on its numbers.
type Draft struct {
	Document config.Document
	Notes    []Note
}

// Generate returns the document that follows from the answers, with the
// version after previous and its digest. It returns a problem.List for wrong
// answers.
func Generate(a Answers, previous fleet.Version) (Draft, error) {
	if err := Validate(a); err != nil {
		return Draft{}, err
	}
	d := build(a, previous+1)
	d.Digest = config.DigestOf(d)
	return Draft{Document: d, Notes: notes(a, d, previous)}, nil
}

// build returns the document without its digest.
func build(a Answers, version fleet.Version) config.Document {
	d := config.Document{
		Version:    version,
		Deployment: a.Deployment,
		Domains:    a.Domains,
		Limits: config.Limits{
			MaxBodyBytes:   cmp.Or(a.Limits.MaxBodyBytes, defaultBody),
			MaxHeaderBytes: cmp.Or(a.Limits.MaxHeaderBytes, defaultHeader),
			AssignmentTTL:  cmp.Or(a.Limits.AssignmentTTL, defaultAssignment),
			TokenTTL:       cmp.Or(a.Limits.TokenTTL, defaultToken),
		},
	}
	for _, s := range a.Services {
		d.Services = append(d.Services, buildService(s, a.Detect))
	}
	for _, t := range a.Tenants {
		d.Tenants = append(d.Tenants, config.Tenant(t))
	}
	return d
}

func buildService(s Service, detect fleet.Preference) config.Service {
	service := config.Service{
		Name:     s.Name,
		Slots:    s.Slots,
		Conns:    s.Conns,
		Floor:    s.Floor,
		Deadline: s.Deadline,
		Detect:   detect,
	}
	for _, r := range s.Protected {
		service.Routes = append(service.Routes, config.Route{Method: r.Method, Path: r.Path, Protected: true})
	}
	for _, r := range s.Idempotent {
		service.Routes = append(service.Routes, config.Route{Method: r.Method, Path: r.Path})
	}
	return service
}
