package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// RunFunc serves until the context ends. An error ends the program.
type RunFunc func(ctx context.Context, c *cli.Command, log *logrus.Logger) error

// Main parses the flags and calls run, whose context ends at SIGINT or SIGTERM.
// If the flags are invalid or run fails, it logs the error as JSON and exits with
// status 1.
func Main(name, usage string, flags []cli.Flag, run RunFunc) {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:   name,
		Usage:  usage,
		Flags:  flags,
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, log) },
	}
	if err := command.Run(ctx, os.Args); err != nil {
		log.WithError(err).Fatal("cannot serve")
	}
}
