// Command galenaridge runs and inspects instances of the proxy fleet.
package main

import (
	"os"

	"galenaridge/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
