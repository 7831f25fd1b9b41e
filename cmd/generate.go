package cmd

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
)

// outputFileMode is the mode of written files, which hold no secrets.
const outputFileMode = 0o644

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "generate the configuration from answers",
		ArgsUsage: "ANSWERS",
		Description: `Writes the configuration document that follows from the answers. Comments in it
say how each number was derived. A running fleet adopts only a version above
the one in force, so name the configuration in force with --previous.

Examples:
  galenaridge generate examples/kuvuka.yaml
  galenaridge generate --previous config.yaml --output next.yaml answers.yaml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "previous", Usage: "`FILE` with the previous configuration, whose version is incremented"},
			outputFlag(),
		},
		OnUsageError: asUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return &usageError{errors.New("generate: expected one file of answers")}
			}
			data, err := generate(c.Args().First(), c.String("previous"))
			if err != nil {
				return fileError(err)
			}
			return writeOutput(c, data)
		},
	}
}

// generate returns the configuration for a file of answers. Its version is one
// above the version of the previous configuration file, or 1 if the name of
// that file is empty.
func generate(file, previous string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, err
	}
	answers, err := document.DecodeAnswers(file, data)
	if err != nil {
		return nil, err
	}
	version, err := configVersion(previous)
	if err != nil {
		return nil, err
	}
	draft, err := questionnaire.Generate(answers, version)
	if err != nil {
		return nil, err
	}
	return document.EncodeConfig(draft.Document, draft.Notes)
}

// configVersion returns the version of a configuration file, or zero if the file
// name is empty.
func configVersion(file string) (fleet.Version, error) {
	if file == "" {
		return 0, nil
	}
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return 0, err
	}
	d, err := document.DecodeConfig(file, data)
	return d.Version, err
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FILE` to write instead of standard output"}
}

// writeOutput writes data to the file that --output names, or to standard output.
func writeOutput(c *cli.Command, data []byte) error {
	if file := c.String("output"); file != "" {
		return os.WriteFile(filepath.Clean(file), data, outputFileMode)
	}
	_, err := c.Root().Writer.Write(data)
	return err
}
