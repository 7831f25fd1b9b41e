package harness_test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"github.com/goccy/go-yaml"
	"go.uber.org/goleak"
)

// fakeInstanceVariable is the environment variable that makes the test program
// run as a fake instance.
const fakeInstanceVariable = "GALENARIDGE_FAKE_INSTANCE"

// binDir is the directory of the stand-in programs that the tests run.
var binDir string

func TestMain(m *testing.M) {
	if os.Getenv(fakeInstanceVariable) != "" {
		os.Exit(fakeInstance())
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if binDir, err = os.MkdirTemp("", "harness-bin-"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(binDir) }()
	build := exec.Command("go", "build", "-o", binDir+"/", "../cmd/server", "../cmd/platform", "../cmd/link")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	if err := os.Setenv(fakeInstanceVariable, "1"); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// fakeInstance serves /ready and /state at all addresses of its settings until
// SIGTERM. It returns the exit code: 0 after SIGTERM, 1 if the settings are
// invalid.
func fakeInstance() int {
	file := flag.String("settings", "", "")
	flag.Parse()
	text, err := os.ReadFile(*file)
	if err != nil {
		return 1
	}
	var settings struct {
		ID     string `yaml:"id"`
		Domain string `yaml:"domain"`
		Listen struct {
			Caller   string `yaml:"caller"`
			Peer     string `yaml:"peer"`
			Operator string `yaml:"operator"`
		} `yaml:"listen"`
		Platform []string          `yaml:"platform"`
		Seeds    []string          `yaml:"seeds"`
		Via      map[string]string `yaml:"via"`
		Log      string            `yaml:"log"`
	}
	if err := yaml.UnmarshalWithOptions(text, &settings, yaml.Strict()); err != nil {
		fmt.Println(err)
		return 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) })
	for _, address := range []string{settings.Listen.Caller, settings.Listen.Peer, settings.Listen.Operator} {
		go func() { fmt.Println(http.ListenAndServe(address, mux)) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	return 0
}
