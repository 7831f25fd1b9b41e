package harness

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// settings is the content of an instance's settings file.
type settings struct {
	ID       fleet.InstanceID                `yaml:"id"`
	Domain   fleet.Domain                    `yaml:"domain"`
	Listen   listenSettings                  `yaml:"listen"`
	Platform []string                        `yaml:"platform"`
	Seeds    []fleet.Address                 `yaml:"seeds"`
	Via      map[fleet.Address]fleet.Address `yaml:"via"`
	Log      string                          `yaml:"log"`
}

type listenSettings struct {
	Caller   fleet.Address `yaml:"caller"`
	Peer     fleet.Address `yaml:"peer"`
	Operator fleet.Address `yaml:"operator"`
}

// instanceSettings returns the settings for a process with the id in a slot.
func (l *layout) instanceSettings(s slotLayout, id fleet.InstanceID, linkAddresses map[string]fleet.Address) settings {
	level := l.deployment.LogLevel
	if level == "" {
		level = "info"
	}
	return settings{
		ID:       id,
		Domain:   s.domain,
		Listen:   listenSettings{Caller: s.callerAddress, Peer: s.peerAddress, Operator: s.operatorAddress},
		Platform: []string{"http://" + string(l.platformDialAddress(s, linkAddresses))},
		Seeds:    l.seedAddresses(s.slot),
		Via:      l.dialAddresses(s, linkAddresses),
		Log:      level,
	}
}

// writeSettings writes a settings file in YAML.
func writeSettings(file string, s settings) error {
	text, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(file, text, 0o600), "write settings")
}
