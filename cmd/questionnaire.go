package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
)

func questionnaireCommand() *cli.Command {
	return &cli.Command{
		Name:      "questionnaire",
		Usage:     "ask for the needs of a deployment, or check a file of answers",
		ArgsUsage: "[ANSWERS]",
		Description: `Without an argument, asks questions and writes the answers as YAML. Questions go
to standard error, so that standard output holds only the answers. With a file,
checks the answers in it.

Examples:
  galenaridge questionnaire --output answers.yaml
  galenaridge questionnaire answers.yaml`,
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: asUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			switch c.NArg() {
			case 0:
				return runQuestionnaire(c)
			case 1:
				if err := checkAnswers(c.Args().First()); err != nil {
					return fileError(err)
				}
				_, err := fmt.Fprintf(c.Root().Writer, "%s: correct\n", c.Args().First())
				return err
			default:
				return &usageError{errors.New("questionnaire: expected at most one file of answers")}
			}
		},
	}
}

func runQuestionnaire(c *cli.Command) error {
	p := newPrompt(c.Root().Reader, c.Root().ErrWriter)
	answers, err := p.askAnswers()
	if err != nil {
		return &usageError{err}
	}
	if err := questionnaire.Validate(answers); err != nil {
		return &usageError{err}
	}
	data, err := document.EncodeAnswers(answers)
	if err != nil {
		return err
	}
	return writeOutput(c, data)
}
