package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"galenaridge/io/gateway"
	"galenaridge/platform"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run an instance on the machine platform",
		Description: "The platform writes the settings file; " + platform.SettingsVariable + " holds its path.\n" +
			"SIGTERM and SIGINT start a planned stop, and SIGHUP reloads the settings.\n\n" +
			"Example:\n  galenaridge gateway --settings /etc/galenaridge/settings.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log", Usage: "log lines of this `LEVEL` and above", Value: "info"},
		},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, c *cli.Command) error {
	level, err := logrus.ParseLevel(c.String("log"))
	if err != nil {
		return &usageError{err: err}
	}
	adapter := platform.Adapter{SettingsPath: c.String("settings")}
	settings, err := adapter.LoadSettings()
	if err != nil {
		return &usageError{err: err}
	}
	limitMemory(settings.Capacity.MemoryMB)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := make(chan struct{}, 1)
	p, err := gateway.New(gateway.Options{
		Settings:  settings,
		Adapter:   adapter,
		Clock:     clockwork.NewRealClock(),
		LogOutput: os.Stdout,
		LogLevel:  level,
		Release:   version,
		Reload:    reload,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { forwardHangups(ctx, hangups, reload) })
	err = p.Run(ctx)
	cancel()
	return err
}

// softMemoryShare is the share of the memory of the process at which the garbage collector
// works harder. The rest is for what it does not see.
const softMemoryShare = 0.7

// limitMemory sets a soft limit for the heap, so that garbage alone does not exceed the
// memory of the process. Nothing is limited if the memory is not known.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * memoryMB * 1e6))
	}
}

// forwardHangups requests a reload of the settings at each hangup signal.
func forwardHangups(ctx context.Context, hangups <-chan os.Signal, reload chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			select {
			case reload <- struct{}{}:
			default:
				// A reload is pending already.
			}
		}
	}
}
