package setting

import (
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"galenaridge/core/problem"
	"galenaridge/io/strictyaml"
)

// Source is where settings come from. Later ones override earlier ones: the
// file, then the environment, then flags.
type Source struct {
	// File is the path of the YAML file. If it is empty, the environment
	// variable GALENARIDGE_SETTINGS names the file, if it is set.
	File string
	// Environ has the form of os.Environ; names that do not start with
	// GALENARIDGE_ are ignored.
	Environ []string
	// Flags maps the names of flags that were given to their values.
	Flags map[string]string
}

// loader merges settings and remembers where each value came from.
type loader struct {
	settings  Settings
	positions strictyaml.Positions
	// origins maps the paths of keys that were overridden to their sources.
	origins  map[string]string
	mistakes strictyaml.Mistakes
}

// Load reads, merges and validates settings. Wrong settings are
// strictyaml.Mistakes; other errors mean that the file cannot be read.
func Load(s Source) (Settings, error) {
	l := &loader{settings: Defaults(), origins: make(map[string]string)}
	variables := l.variables(s.Environ)
	if err := l.readFile(s.File, variables); err != nil {
		return Settings{}, err
	}
	l.readVariables(variables)
	l.readFlags(s.Flags)
	if len(l.mistakes) == 0 {
		l.validate()
	}
	if len(l.mistakes) > 0 {
		return Settings{}, l.mistakes
	}
	return l.settings, nil
}

// variables returns the environment variables of the program by name.
func (l *loader) variables(environ []string) map[string]string {
	variables := make(map[string]string)
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, prefix) {
			variables[name] = value
		}
	}
	return variables
}

func (l *loader) readFile(file string, variables map[string]string) error {
	if file == "" {
		file = variables[fileVariable]
	}
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	l.positions, err = strictyaml.Decode(file, data, &l.settings)
	return err
}

func (l *loader) readVariables(variables map[string]string) {
	for _, k := range keys {
		if text, ok := variables[k.variable()]; ok {
			l.override(k, "environment variable "+k.variable(), text)
			delete(variables, k.variable())
		}
	}
	delete(variables, fileVariable)
	for _, name := range sortedNames(variables) {
		l.mistakes = append(l.mistakes, strictyaml.Mistake{
			Source: "environment variable " + name, Key: strings.TrimPrefix(name, prefix), Value: variables[name],
			Expected: "one of the names " + strings.Join(append(names(key.variable), fileVariable), ", "),
		})
	}
}

func (l *loader) readFlags(flags map[string]string) {
	for _, k := range keys {
		if text, ok := flags[k.flag()]; ok {
			l.override(k, "flag --"+k.flag(), text)
		}
	}
	for _, name := range sortedNames(flags) {
		if !slices.Contains(names(key.flag), name) {
			l.mistakes = append(l.mistakes, strictyaml.Mistake{
				Source: "flag --" + name, Key: name, Value: flags[name],
				Expected: "one of the flags " + strings.Join(names(key.flag), ", "),
			})
		}
	}
}

// override sets a key from a variable or a flag.
func (l *loader) override(k key, origin, text string) {
	l.origins[k.path] = origin
	if expected := set(k.field(&l.settings), text); expected != "" {
		l.mistakes = append(l.mistakes, strictyaml.Mistake{Source: origin, Key: k.path, Value: text, Expected: expected})
	}
}

// validate adds the mistakes of the merged settings.
func (l *loader) validate() {
	list, _ := problem.FromError(check(l.settings))
	for _, p := range list {
		l.mistakes = append(l.mistakes, l.locate(p))
	}
}

// locate returns a problem with the source that its value came from.
func (l *loader) locate(p problem.Problem) strictyaml.Mistake {
	for _, k := range keys {
		origin, overridden := l.origins[k.path]
		rest, below := strings.CutPrefix(p.Path, k.path)
		if overridden && below && (rest == "" || rest[0] == '[' || rest[0] == '.') {
			return strictyaml.Mistake{Source: origin, Key: p.Path, Value: p.Value, Expected: p.Expected}
		}
	}
	return l.positions.LocateProblem(p)
}

// names returns one name of each key.
func names(name func(key) string) []string {
	list := make([]string, len(keys))
	for i, k := range keys {
		list[i] = name(k)
	}
	return list
}

func sortedNames(m map[string]string) []string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}
