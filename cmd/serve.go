package cmd

import (
	"context"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"galenaridge/io/logging"
	"galenaridge/io/process"
	"galenaridge/io/setting"
)

func serveCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`"}}
	for _, flag := range setting.Flags() {
		flags = append(flags, &cli.StringFlag{Name: flag.Name, Usage: flag.Usage})
	}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance",
		Description: "Settings come from the file, then the environment (GALENARIDGE_*), then flags;\n" +
			"settings.example.yaml documents each. SIGTERM and SIGINT start a planned stop.\n\n" +
			"Example:\n  galenaridge serve --settings instance.yaml --log debug",
		Flags:  flags,
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	flagValues := map[string]string{}
	for _, flag := range setting.Flags() {
		if c.IsSet(flag.Name) {
			flagValues[flag.Name] = c.String(flag.Name)
		}
	}
	settings, err := setting.Load(setting.Source{
		File:    c.String("settings"),
		Environ: os.Environ(),
		Flags:   flagValues,
	})
	if err != nil {
		return &usageError{err: err}
	}
	customers, err := setting.ReadCustomers(settings.Customers, os.Environ())
	if err != nil {
		return &usageError{err: err}
	}
	level, err := logrus.ParseLevel(settings.Log.String())
	if err != nil {
		return &usageError{err: err}
	}
	p, err := process.New(process.Options{
		Settings:  settings,
		Customers: customers,
		Clock:     clockwork.NewRealClock(),
		Log:       logging.New(os.Stderr, level),
		Release:   version,
	})
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
