// Package cmd holds the subcommands of galenaridge, one file for each.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is a mistake of the operator in settings, flags or answers.
type usageError struct{ err error }

// Error returns the message of the mistake.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the error that describes the mistake.
func (e *usageError) Unwrap() error { return e.err }

// Main runs the program and returns its exit code: 0 on success, 1 on
// failure and 2 on a mistake in settings, flags or answers.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "galenaridge",
		Usage:                 "a proxy fleet for upstreams that fail partially",
		EnableShellCompletion: true,
		Version:               version,
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			showCommand(),
			loadCommand(),
			explainCommand(),
			whereCommand(),
			questionnaireCommand(),
			generateCommand(),
			checkCommand(),
			versionCommand(),
		},
	}
	setUsageErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "galenaridge:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

// setUsageErrors makes invalid flags and unknown commands end with exitUsage.
func setUsageErrors(root *cli.Command) {
	onUsageError := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err: err} }
	root.OnUsageError = onUsageError
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
	}
	root.Action = func(_ context.Context, c *cli.Command) error {
		if name := c.Args().First(); name != "" {
			return &usageError{err: fmt.Errorf("unknown command %q; see galenaridge --help", name)}
		}
		return cli.ShowRootCommandHelp(c)
	}
}
