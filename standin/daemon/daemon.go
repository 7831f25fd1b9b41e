package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// RunFunc serves until the context ends.
type RunFunc func(ctx context.Context, c *cli.Command, log *logrus.Logger) error

// Main runs a program that serves until it is interrupted or terminated. It ends
// the process with a line of the log if the program cannot serve.
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
