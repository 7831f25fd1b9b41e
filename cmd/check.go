package cmd

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"galenaridge/io/document"
	"galenaridge/io/setting"
	"galenaridge/io/strictyaml"
)

// checkCommand has one subcommand for each kind of file, because a guess from
// the content would give misleading messages for a file with mistakes.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check answers, configuration or settings files",
		Description: `Prints one line for each mistake, with its place and what was expected, and
exits with status 2 if there is any.

Examples:
  galenaridge check answers examples/kuvuka.yaml
  galenaridge check configuration config.yaml
  galenaridge check settings settings.example.yaml`,
		Commands: []*cli.Command{
			checkKind("answers", "check answers of the questionnaire", checkAnswers),
			checkKind("configuration", "check generated configuration and its digest", checkConfig),
			checkKind("settings", "check settings of a process", checkSettings),
		},
		OnUsageError: wrongUsage,
		Action: func(_ context.Context, c *cli.Command) error {
			return &usageError{fmt.Errorf("check: got %q, expected answers, configuration or settings", c.Args().First())}
		},
	}
}

func checkKind(name, usage string, check func(file string) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		ArgsUsage:    "FILE...",
		Description:  "Example:\n  galenaridge check " + name + " FILE",
		OnUsageError: wrongUsage,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return &usageError{fmt.Errorf("check %s: missing argument, expected at least one file", name)}
			}
			var failures []error
			for _, file := range c.Args().Slice() {
				if err := check(file); err != nil {
					failures = append(failures, err)
					continue
				}
				_, _ = fmt.Fprintf(c.Root().Writer, "%s: correct\n", file)
			}
			return operatorError(errors.Join(failures...))
		},
	}
}

func checkAnswers(file string) error {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return err
	}
	_, err = document.DecodeAnswers(file, data)
	return err
}

func checkConfig(file string) error {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return err
	}
	_, err = document.DecodeConfig(file, data)
	return err
}

func checkSettings(file string) error {
	_, err := setting.Load(setting.Source{File: file})
	return err
}

// wrongUsage turns a mistake in flags into a usageError.
func wrongUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

// operatorError turns mistakes in files and missing files into a usageError,
// and returns any other error as it is.
func operatorError(err error) error {
	_, mistakes := strictyaml.AsMistakes(err)
	if mistakes || document.IsTooLarge(err) || errors.Is(err, fs.ErrNotExist) {
		return &usageError{err}
	}
	return err
}
