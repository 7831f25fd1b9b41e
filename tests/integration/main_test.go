package integration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

// root is the root of the module.
const root = "../.."

// bin is the directory of the programs that the tests run.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	// The toxiproxy library logs each link and each closed connection.
	logrus.SetLevel(logrus.ErrorLevel)
	var err error
	if bin, err = os.MkdirTemp("", "integration-bin-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	build := exec.Command("go", "build", "-o", bin+string(filepath.Separator),
		".", "./standin/cmd/server", "./standin/cmd/platform", "./standin/cmd/link")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output), err)
		return 1
	}
	return m.Run()
}
