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

// embeddingDocument contains the program that TestEmbedding builds.
const embeddingDocument = root + "/docs/embedding.md"

// exampleProgram returns the Go program in a document and the output that the
// document states for it.
func exampleProgram(t *testing.T, document string) (source, output string) {
	t.Helper()
	text, err := os.ReadFile(document)
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

// TestEmbedding guards against core packages that another module cannot import,
// and against a documented program that no longer builds or prints another
// output. It needs no network access.
func TestEmbedding(t *testing.T) {
	source, expected := exampleProgram(t, embeddingDocument)
	module, err := filepath.Abs(root)
	require.NoError(t, err)
	goSum, err := os.ReadFile(filepath.Join(module, "go.sum"))
	require.NoError(t, err)
	dir := t.TempDir()
	files := []struct{ name, text string }{
		{"go.mod", "module embedding\n\ngo 1.26.0\n\nrequire galenaridge v0.0.0\n\nreplace galenaridge => " + module + "\n"},
		{"go.sum", string(goSum)},
		{"main.go", source},
	}
	for _, file := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, file.name), []byte(file.text), 0o600))
	}
	build := exec.Command("go", "build", "-o", "embedding", ".")
	build.Dir = dir
	build.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOPROXY=off", "GOWORK=off")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	output, err = exec.Command(filepath.Join(dir, "embedding")).CombinedOutput()
	require.NoError(t, err, string(output))
	assert.Equal(t, expected, string(output))
}

// TestCoreImports guards against core packages that depend on an encoding, a
// front end or a logger.
func TestCoreImports(t *testing.T) {
	command := exec.Command("go", "list", "-deps", "./core/...")
	command.Dir = root
	output, err := command.Output()
	require.NoError(t, err)
	forbidden := []string{
		"galenaridge/io/", "galenaridge/client", "galenaridge/standin/", "net/http", "github.com/valyala/fasthttp",
		"github.com/gofiber/fiber", "google.golang.org/grpc", "google.golang.org/protobuf", "github.com/sirupsen/logrus",
	}
	for imported := range strings.FieldsSeq(string(output)) {
		for _, prefix := range forbidden {
			assert.False(t, strings.HasPrefix(imported, prefix), imported)
		}
	}
}
