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

// checkCommand has one subcommand for each kind of file, because a kind that is
// guessed from the content would give misleading messages for a file with
// mistakes.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check answers, configuration or settings files",
		Description: `Prints one line for each mistake, with its position and what was expected, and
exits with status 2 if there is any.

Examples:
  galenaridge check answers examples/kuvuka.yaml
  galenaridge check configuration config.yaml
  galenaridge check settings settings.example.yaml`,
		Commands: []*cli.Command{
			fileCheckCommand("answers", "check answers of the questionnaire", checkAnswers),
			fileCheckCommand("configuration", "check generated configuration and its digest", checkConfig),
			fileCheckCommand("settings", "check settings of a process", checkSettings),
		},
		OnUsageError: asUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return &usageError{fmt.Errorf("check: got %q, expected answers, configuration or settings", c.Args().First())}
		},
	}
}

func fileCheckCommand(name, usage string, check func(file string) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		ArgsUsage:    "FILE...",
		Description:  "Example:\n  galenaridge check " + name + " FILE",
		OnUsageError: asUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return &usageError{fmt.Errorf("check %s: missing argument, expected at least one file", name)}
			}
			var errs []error
			for _, file := range c.Args().Slice() {
				if err := check(file); err != nil {
					errs = append(errs, err)
					continue
				}
				_, _ = fmt.Fprintf(c.Root().Writer, "%s: correct\n", file)
			}
			return fileError(errors.Join(errs...))
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

// asUsageError wraps a mistake in flags in a usageError.
func asUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

// fileError wraps an error in a usageError if it reports mistakes in a file, or a
// file that is too large or does not exist. It returns any other error unchanged.
func fileError(err error) error {
	_, hasMistakes := strictyaml.AsMistakes(err)
	if hasMistakes || document.IsTooLarge(err) || errors.Is(err, fs.ErrNotExist) {
		return &usageError{err}
	}
	return err
}
