// Command platform runs a stand-in for the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"galenaridge/core/fleet"
	"galenaridge/standin/platform"
)

func main() {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "platform",
		Usage: "stand-in for the configuration service and the list of processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for readers"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address for operators"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, logger)
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		logger.WithError(err).Fatal("cannot serve")
	}
}

func run(ctx context.Context, c *cli.Command, logger *logrus.Logger) error {
	p, err := platform.Start(platform.Options{
		Readers:   fleet.Address(c.String("listen")),
		Operators: fleet.Address(c.String("control")),
	}, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	defer p.Close()
	logger.WithFields(logrus.Fields{"listen": p.Readers(), "control": p.Operators()}).Info("serving")
	<-ctx.Done()
	return nil
}
