package experiment

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
	"galenaridge/standin/harness"
)

// deployment returns the deployment of the experiment. Each instance gets links
// of its own if a fault cuts or heals links of a single instance.
func (e Experiment) deployment() harness.Deployment {
	var d harness.Deployment
	switch e.Deployment {
	case Bluemahoe:
		d = harness.BlueMahoe(cmp.Or(e.Instances, defaultInstances))
	case Synthetic:
		d = e.Synthetic.Deployment(e.Seed)
	default:
		d = harness.Kuvuka(cmp.Or(e.Instances, defaultInstances))
	}
	d.Seed = e.Seed
	d.ListLag = e.ListLag
	for _, f := range e.Faults {
		d.LinksPerInstance = d.LinksPerInstance || strings.HasPrefix(f.From+" "+f.To, instancePrefix) || strings.Contains(f.To, instancePrefix)
	}
	return d
}

// config returns the configuration with the given version, in YAML. For kuvuka
// and bluemahoe it is generated from the questionnaire answers in the directory
// examples.
func (e Experiment) config(examples string, version fleet.Version) ([]byte, error) {
	if e.Deployment == Synthetic {
		return e.Synthetic.Config(version)
	}
	file := filepath.Join(examples, e.Deployment.String()+".yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the answers")
	}
	answers, err := document.DecodeAnswers(file, data)
	if err != nil {
		return nil, err
	}
	draft, err := questionnaire.Generate(answers, version-1)
	if err != nil {
		return nil, err
	}
	return document.EncodeConfig(draft.Document, draft.Notes)
}

func (e Experiment) hasSlot(slot harness.Slot) bool {
	for n := range e.deployment().Instances {
		if harness.SlotName(n+1) == slot {
			return true
		}
	}
	return false
}

func (e Experiment) hasService(name fleet.ServiceName) bool {
	return slices.ContainsFunc(e.deployment().Services, func(s harness.Service) bool { return s.Name == name })
}

func (e Experiment) hasServer(id fleet.ServerID) bool {
	for _, s := range e.deployment().Services {
		for n := range s.Servers {
			if harness.ServerName(s.Name, n+1) == id {
				return true
			}
		}
	}
	return false
}

// firstServer returns the id of one server, as an example for error messages.
func (e Experiment) firstServer() fleet.ServerID {
	return harness.ServerName(e.deployment().Services[0].Name, 1)
}

// Names of link ends in the keys from and to of a fault. Each prefix is followed by
// a failure domain, a slot or a server id.
const (
	domainPrefix   = "domain/"
	instancePrefix = "instance/"
	serverPrefix   = "server/"
	platformEnd    = "platform"
	clientsEnd     = "clients"
)

// linkEnd parses the name of a link end. It returns false if the deployment has
// no such end.
func (e Experiment) linkEnd(name string) (harness.LinkEnd, bool) {
	if domain, ok := strings.CutPrefix(name, domainPrefix); ok {
		return harness.Domain(fleet.Domain(domain)), slices.Contains(e.deployment().Domains, fleet.Domain(domain))
	}
	if slot, ok := strings.CutPrefix(name, instancePrefix); ok {
		return harness.Instance(harness.Slot(slot)), e.hasSlot(harness.Slot(slot))
	}
	if id, ok := strings.CutPrefix(name, serverPrefix); ok {
		return harness.Server(fleet.ServerID(id)), e.hasServer(fleet.ServerID(id))
	}
	switch name {
	case platformEnd:
		return harness.Platform(), true
	case clientsEnd:
		return harness.Clients(), e.deployment().ClientDelay > 0
	default:
		return harness.LinkEnd{}, false
	}
}
