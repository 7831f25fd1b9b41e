package harness

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// settings is the settings file of one instance.
type settings struct {
	ID       fleet.InstanceID                `yaml:"id"`
	Domain   fleet.Domain                    `yaml:"domain"`
	Listen   listen                          `yaml:"listen"`
	Platform []string                        `yaml:"platform"`
	Seeds    []fleet.Address                 `yaml:"seeds"`
	Via      map[fleet.Address]fleet.Address `yaml:"via"`
	Log      string                          `yaml:"log"`
}

type listen struct {
	Caller   fleet.Address `yaml:"caller"`
	Peer     fleet.Address `yaml:"peer"`
	Operator fleet.Address `yaml:"operator"`
}

// settings returns the settings of a slot whose process has the id.
func (l *layout) settings(p place, id fleet.InstanceID, opened map[string]fleet.Address) settings {
	level := l.deployment.LogLevel
	if level == "" {
		level = "info"
	}
	return settings{
		ID:       id,
		Domain:   p.domain,
		Listen:   listen{Caller: p.caller, Peer: p.peer, Operator: p.operator},
		Platform: []string{"http://" + string(l.platformOf(p, opened))},
		Seeds:    l.seeds(p.slot),
		Via:      l.via(p, opened),
		Log:      level,
	}
}

// writeSettings writes the settings file of an instance.
func writeSettings(file string, s settings) error {
	text, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(file, text, 0o600), "write settings")
}
