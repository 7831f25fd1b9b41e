package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// version is the release of the program.
const version = "0.1.0"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the release",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version)
			return err
		},
	}
}
