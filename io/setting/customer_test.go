package setting

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
)

// secret is a key that no output may contain.
const secret = "2ftimaj3nr26tta828m8"

// TestCustomerMistakes guards against customers without keys, and against a mistake that
// prints a key which was written in place of its source.
func TestCustomerMistakes(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"no keys", "- name: app\n", "customers[0].keys: missing or empty"},
		{"no name", "- keys: [{file: a}]\n", "customers[0].name: missing or empty"},
		{"same name", "- {name: app, keys: [{file: a}]}\n- {name: app, keys: [{file: b}]}\n", `customers[1].name: got "app"`},
		{"file and variable", "- {name: app, keys: [{file: a, variable: B}]}\n", "customers[0].keys[0]: "},
		{"neither", "- {name: app, keys: [{}]}\n", "customers[0].keys[0]: "},
		{"key as text", "- {name: app, keys: [" + secret + "]}\n", hiddenValue},
		{"unknown source", "- {name: app, keys: [{value: " + secret + "}]}\n", hiddenValue},
		{"key in place of the list", "- {name: app, keys: " + secret + "}\n", hiddenValue},
		{"not YAML", "- {name: app, keys: [{value: " + secret + "\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(Source{File: writeFile(t, goodFile+"customers:\n"+test.text)})
			require.ErrorContains(t, err, test.want)
			require.NotContains(t, err.Error(), secret)
		})
	}
}

// TestReadCustomers guards against a process that starts with a key that it could not read,
// with one that two customers share, or with the line break at the end of a file.
func TestReadCustomers(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	key, empty, lines := file("key", secret+"\n"), file("empty", " \n"), file("lines", "a\nb\n")
	environ := []string{"APP_KEY= other ", "SHARED=" + secret, "EMPTY="}
	tests := []struct {
		name    string
		sources [][]KeySource
		want    []string
	}{
		{"file and variable", [][]KeySource{{{File: key}, {Variable: "APP_KEY"}}}, []string{secret, "other"}},
		{"no file", [][]KeySource{{{File: filepath.Join(dir, "none")}}}, nil},
		{"directory", [][]KeySource{{{File: dir}}}, nil},
		{"empty file", [][]KeySource{{{File: empty}}}, nil},
		{"several lines", [][]KeySource{{{File: lines}}}, nil},
		{"no variable", [][]KeySource{{{Variable: "NONE"}}}, nil},
		{"empty variable", [][]KeySource{{{Variable: "EMPTY"}}}, nil},
		{"shared key", [][]KeySource{{{File: key}}, {{Variable: "SHARED"}}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var customers []Customer
			for i, sources := range test.sources {
				customers = append(customers, Customer{Name: []fleet.Customer{"app", "jobs"}[i], Keys: sources})
			}
			read, err := ReadCustomers(customers, environ)
			if test.want == nil {
				require.Error(t, err)
				require.NotContains(t, err.Error(), secret)
				return
			}
			require.NoError(t, err)
			var hashes []customer.KeyHash
			for _, text := range test.want {
				hashes = append(hashes, customer.HashKey(text))
			}
			require.Equal(t, hashes, read[0].Keys)
		})
	}
}

// TestEmptyCustomers guards against a process that asks for no key although its settings have a
// list of customers, which is empty.
func TestEmptyCustomers(t *testing.T) {
	tests := []struct {
		name string
		text string
		// listed is set if there is a list.
		listed bool
	}{
		{"empty list", "customers: []\n", true},
		{"no list", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings, err := Load(Source{File: writeFile(t, goodFile+test.text)})
			require.NoError(t, err)
			read, err := ReadCustomers(settings.Customers, nil)
			require.NoError(t, err)
			require.Empty(t, read)
			require.Equal(t, test.listed, read != nil)
		})
	}
	_, err := Load(Source{File: writeFile(t, goodFile+"customers:\n")})
	require.ErrorContains(t, err, "customers", "a key without a value is neither")
}

// TestKeyVariables guards against a variable with a key that is refused, and printed, as an
// unknown setting.
func TestKeyVariables(t *testing.T) {
	path := writeFile(t, goodFile+"customers:\n- {name: app, keys: [{variable: GALENARIDGE_APP_KEY}]}\n")
	_, err := Load(Source{File: path, Environ: []string{"GALENARIDGE_APP_KEY=" + secret}})
	require.NoError(t, err)
}
