package integration_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// embeddingPage holds the program that TestEmbedding builds.
const embeddingPage = root + "/docs/embedding.md"

// program returns the Go program of a page and what the page says it prints.
func program(t *testing.T, page string) (source, output string) {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(text), "```go\n")
	require.True(t, found)
	source, rest, found = strings.Cut(rest, "```\n")
	require.True(t, found)
	_, rest, found = strings.Cut(rest, "It prints:\n\n")
	require.True(t, found)
	for line := range strings.Lines(rest) {
		output += strings.TrimPrefix(line, "    ")
	}
	return source, output
}

// TestEmbedding guards against core packages that another module cannot
// import, and against a page whose program no longer builds or prints
// something else. It needs no network.
func TestEmbedding(t *testing.T) {
	source, output := program(t, embeddingPage)
	module, err := filepath.Abs(root)
	require.NoError(t, err)
	sums, err := os.ReadFile(filepath.Join(module, "go.sum"))
	require.NoError(t, err)
	dir := t.TempDir()
	files := []struct{ name, text string }{
		{"go.mod", "module embedding\n\ngo 1.26.0\n\nrequire galenaridge v0.0.0\n\nreplace galenaridge => " + module + "\n"},
		{"go.sum", string(sums)},
		{"main.go", source},
	}
	for _, file := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, file.name), []byte(file.text), 0o600))
	}
	build := exec.Command("go", "build", "-o", "embedding", ".")
	build.Dir = dir
	build.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOPROXY=off", "GOWORK=off")
	printed, err := build.CombinedOutput()
	require.NoError(t, err, string(printed))
	printed, err = exec.Command(filepath.Join(dir, "embedding")).CombinedOutput()
	require.NoError(t, err, string(printed))
	assert.Equal(t, output, string(printed))
}

// TestCoreImports guards against decisions that depend on an encoding, a
// front end or a logger.
func TestCoreImports(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "./core/...")
	list.Dir = root
	printed, err := list.Output()
	require.NoError(t, err)
	barred := []string{
		"galenaridge/io/", "galenaridge/client", "galenaridge/standin/", "net/http", "github.com/valyala/fasthttp",
		"github.com/gofiber/fiber", "google.golang.org/grpc", "google.golang.org/protobuf", "github.com/sirupsen/logrus",
	}
	for imported := range strings.FieldsSeq(string(printed)) {
		for _, prefix := range barred {
			assert.False(t, strings.HasPrefix(imported, prefix), imported)
		}
	}
}
