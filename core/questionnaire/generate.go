package questionnaire

import (
	"cmp"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
)

// Defaults of the optional limits.
const (
	defaultBodyBytes     = 1 << 20
	defaultHeaderBytes   = 16 << 10
	defaultAssignmentTTL = 5 * time.Second
	defaultTokenTTL      = 10 * time.Minute
)

// Draft is a generated document and the notes on its numbers.
type Draft struct {
	Document config.Document
	Notes    []Note
}

// Generate returns the document for the answers, with its digest and the version that
// follows the previous one. It returns a problem.List if the answers break a rule.
func Generate(a Answers, previous fleet.Version) (Draft, error) {
	if err := Validate(a); err != nil {
		return Draft{}, err
	}
	d := buildDocument(a, previous+1)
	d.Digest = config.DigestOf(d)
	return Draft{Document: d, Notes: notes(a, d, previous)}, nil
}

// buildDocument returns the document without its digest.
func buildDocument(a Answers, version fleet.Version) config.Document {
	d := config.Document{
		Version:    version,
		Deployment: a.Deployment,
		Domains:    a.Domains,
		Limits: config.Limits{
			MaxBodyBytes:   cmp.Or(a.Limits.MaxBodyBytes, defaultBodyBytes),
			MaxHeaderBytes: cmp.Or(a.Limits.MaxHeaderBytes, defaultHeaderBytes),
			AssignmentTTL:  cmp.Or(a.Limits.AssignmentTTL, defaultAssignmentTTL),
			TokenTTL:       cmp.Or(a.Limits.TokenTTL, defaultTokenTTL),
		},
	}
	for _, s := range a.Services {
		d.Services = append(d.Services, buildService(s, a.Detect))
	}
	for _, t := range a.Customers {
		d.Customers = append(d.Customers, config.Customer(t))
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
