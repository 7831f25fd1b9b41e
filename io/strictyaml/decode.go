package strictyaml

import (
	"errors"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"

	"galenaridge/core/problem"
)

// Positions finds the keys of a decoded file.
type Positions struct {
	file string
	at   map[string]*token.Position
}

// Decode decodes one YAML document into the struct that target points to. Keys
// that are missing leave their fields as they are. The file name is used in
// mistakes only. Mistakes in the text are Mistakes.
func Decode(file string, data []byte, target any) (Positions, error) {
	root, err := parse(file, data)
	if err != nil {
		return Positions{}, err
	}
	d := &decoder{file: file, positions: make(map[string]*token.Position)}
	d.decode("", root, reflect.ValueOf(target).Elem())
	if len(d.mistakes) > 0 {
		return Positions{}, d.mistakes
	}
	return Positions{file: file, at: d.positions}, nil
}

func parse(file string, data []byte) (ast.Node, error) {
	// Keys given twice are left to the decoder, which reports them like all
	// other mistakes.
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		at := syntax.GetToken()
		return nil, Mistakes{{
			Source: file, Line: at.Position.Line, Column: at.Position.Column,
			Value: strings.TrimSpace(at.Value), Expected: "YAML: " + syntax.GetMessage(),
		}}
	}
	if err != nil {
		return nil, eris.Wrapf(err, "parse %s", file)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, Mistakes{{Source: file, Line: 1, Column: 1, Expected: "at least one key"}}
	}
	if len(tree.Docs) > 1 {
		at := tree.Docs[1].Start
		return nil, Mistakes{{
			Source: file, Line: at.Position.Line, Column: at.Position.Column,
			Value: at.Value, Expected: "one document in the file",
		}}
	}
	return tree.Docs[0].Body, nil
}

// HasKey reports whether a key was in the file.
func (p Positions) HasKey(path string) bool { return p.at[path] != nil }

// LocateProblem returns a problem of a decoded value with the position of its key.
func (p Positions) LocateProblem(found problem.Problem) Mistake {
	m := Mistake{Source: p.file, Line: 1, Column: 1, Key: found.Path, Value: found.Value, Expected: found.Expected}
	if !p.HasKey(found.Path) {
		// The zero value of a missing key is not what anyone wrote.
		m.Value = ""
	}
	for path := found.Path; path != ""; path = parent(path) {
		if at := p.at[path]; at != nil {
			m.Line, m.Column = at.Line, at.Column
			break
		}
	}
	return m
}

// parent returns the path of the list or mapping that holds a path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// LocateProblems returns all problems that err lists, or err if it lists none.
func (p Positions) LocateProblems(err error) error {
	list, ok := problem.FromError(err)
	if !ok {
		return err
	}
	mistakes := make(Mistakes, len(list))
	for i, found := range list {
		mistakes[i] = p.LocateProblem(found)
	}
	return mistakes
}
