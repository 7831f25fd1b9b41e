// Command platform runs a simulated platform.
package main

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"galenaridge/core/fleet"
	"galenaridge/standin/daemon"
	"galenaridge/standin/platform"
)

func main() {
	daemon.Main("platform", "simulated platform that serves the configuration and the listing of instances and servers", flags(), run)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for readers"},
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address for operators"},
	}
}

// run serves until the context ends.
func run(ctx context.Context, c *cli.Command, logger *logrus.Logger) error {
	p, err := platform.Start(platform.Options{
		ReaderAddress:   fleet.Address(c.String("listen")),
		OperatorAddress: fleet.Address(c.String("control")),
	}, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	defer p.Close()
	logger.WithFields(logrus.Fields{"listen": p.ReaderAddress(), "control": p.OperatorAddress()}).Info("serving")
	<-ctx.Done()
	return nil
}
