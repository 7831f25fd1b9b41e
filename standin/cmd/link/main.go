// Command link simulates network links between failure domains.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"galenaridge/core/fleet"
	"galenaridge/standin/daemon"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
)

func main() {
	// The proxy library logs each connection with the standard logger of logrus.
	logrus.SetOutput(io.Discard)
	daemon.Main("link", "stand-in for links between failure domains", flags(), run)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "file with a JSON list of links; replaces name, listen, target, delay and jitter"},
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address for control requests"},
		&cli.StringFlag{Name: "name", Value: "link-1", Usage: "name of the link"},
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address at which the link accepts connections"},
		&cli.StringFlag{Name: "target", Usage: "address to which the link connects"},
		&cli.DurationFlag{Name: "delay", Usage: "mean one-way delay"},
		&cli.DurationFlag{Name: "jitter", Usage: "maximum deviation from the delay"},
	}
}

func run(ctx context.Context, c *cli.Command, logger *logrus.Logger) error {
	linkOptions, err := options(c)
	if err != nil {
		return err
	}
	links, err := link.Start(fleet.Address(c.String("control")), linkOptions, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	defer links.Close()
	logger.WithFields(logrus.Fields{"control": links.Control(), "links": len(linkOptions)}).Info("serving")
	for _, s := range links.States() {
		logger.WithFields(logrus.Fields{"name": s.Name, "listen": s.Listen, "target": s.Target}).Info("link open")
	}
	<-ctx.Done()
	return nil
}

func options(c *cli.Command) ([]link.Options, error) {
	if c.String("file") != "" {
		return readFile(c.String("file"))
	}
	if c.String("target") == "" {
		return nil, nil
	}
	return []link.Options{{
		Name:   c.String("name"),
		Listen: fleet.Address(c.String("listen")),
		Target: fleet.Address(c.String("target")),
		Shape: link.Shape{
			Delay:  jsontime.Duration(c.Duration("delay")),
			Jitter: jsontime.Duration(c.Duration("jitter")),
		},
	}}, nil
}

func readFile(name string) ([]link.Options, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of links")
	}
	var list []link.Options
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, eris.Wrapf(err, "parse %s", name)
	}
	return list, nil
}
