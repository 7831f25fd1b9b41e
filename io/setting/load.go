package setting

import (
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"galenaridge/core/problem"
	"galenaridge/io/strictyaml"
)

// Source holds the sources of settings. Flags override the environment, which
// overrides the file.
type Source struct {
	// File is the path of the YAML file. If it is empty, the environment
	// variable GALENARIDGE_SETTINGS names the file, if it is set.
	File string
	// Environ has the form of os.Environ; names that do not start with
	// GALENARIDGE_ are ignored.
	Environ []string
	// Flags maps the names of the flags that are set to their values.
	Flags map[string]string
}

// loader merges settings and records the source of each value.
type loader struct {
	settings  Settings
	positions strictyaml.Positions
	// origins maps the path of each overridden key to the variable or flag that
	// overrides it.
	origins  map[string]string
	mistakes strictyaml.Mistakes
}

// Load reads, merges and validates settings. Invalid settings are returned as
// strictyaml.Mistakes; any other error means that the file cannot be read.
func Load(s Source) (Settings, error) {
	l := &loader{settings: Defaults(), origins: make(map[string]string)}
	variables := l.programVariables(s.Environ)
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

// programVariables returns the environment variables of the program by name.
func (l *loader) programVariables(environ []string) map[string]string {
	variables := make(map[string]string)
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, variablePrefix) {
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
	return hideKeys(err)
}

func (l *loader) readVariables(variables map[string]string) {
	for _, k := range keys {
		if text, ok := variables[k.variableName()]; ok {
			l.override(k, "environment variable "+k.variableName(), text)
			delete(variables, k.variableName())
		}
	}
	delete(variables, fileVariable)
	takeKeyVariables(l.settings.Customers, variables)
	for _, name := range sortedNames(variables) {
		l.mistakes = append(l.mistakes, strictyaml.Mistake{
			Source: "environment variable " + name, Key: strings.TrimPrefix(name, variablePrefix), Value: variables[name],
			Expected: "one of the names " + strings.Join(append(keyNames(key.variableName), fileVariable), ", "),
		})
	}
}

func (l *loader) readFlags(flags map[string]string) {
	for _, k := range keys {
		if text, ok := flags[k.flagName()]; ok {
			l.override(k, "flag --"+k.flagName(), text)
		}
	}
	for _, name := range sortedNames(flags) {
		if !slices.Contains(keyNames(key.flagName), name) {
			l.mistakes = append(l.mistakes, strictyaml.Mistake{
				Source: "flag --" + name, Key: name, Value: flags[name],
				Expected: "one of the flags " + strings.Join(keyNames(key.flagName), ", "),
			})
		}
	}
}

// override sets a key from a variable or a flag, which origin names.
func (l *loader) override(k key, origin, text string) {
	l.origins[k.path] = origin
	if expected := setField(k.field(&l.settings), text); expected != "" {
		l.mistakes = append(l.mistakes, strictyaml.Mistake{Source: origin, Key: k.path, Value: text, Expected: expected})
	}
}

// validate checks the merged settings and records their mistakes.
func (l *loader) validate() {
	problems, _ := problem.FromError(check(l.settings))
	for _, p := range problems {
		l.mistakes = append(l.mistakes, l.locate(p))
	}
}

// locate returns a problem as a mistake at the source of its value.
func (l *loader) locate(p problem.Problem) strictyaml.Mistake {
	for _, k := range keys {
		origin, overridden := l.origins[k.path]
		rest, hasPrefix := strings.CutPrefix(p.Path, k.path)
		if overridden && hasPrefix && (rest == "" || rest[0] == '[' || rest[0] == '.') {
			return strictyaml.Mistake{Source: origin, Key: p.Path, Value: p.Value, Expected: p.Expected}
		}
	}
	return l.positions.LocateProblem(p)
}

// keyNames returns the result of name for each key.
func keyNames(name func(key) string) []string {
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
