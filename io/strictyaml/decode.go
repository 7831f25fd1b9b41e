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

// Positions holds the positions of the keys of a decoded file.
type Positions struct {
	file   string
	byPath map[string]*token.Position
}

// Decode decodes one YAML document into the struct that target points to. The
// fields of missing keys stay unchanged. The file name is used in mistakes only.
// Invalid text is returned as Mistakes.
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
	return Positions{file: file, byPath: d.positions}, nil
}

func parse(file string, data []byte) (ast.Node, error) {
	// The parser accepts duplicate keys, because the decoder reports them like all
	// other mistakes.
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		tok := syntax.GetToken()
		return nil, Mistakes{{
			Source: file, Line: tok.Position.Line, Column: tok.Position.Column,
			Value: strings.TrimSpace(tok.Value), Expected: "YAML: " + syntax.GetMessage(),
		}}
	}
	if err != nil {
		return nil, eris.Wrapf(err, "parse %s", file)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, Mistakes{{Source: file, Line: 1, Column: 1, Expected: "at least one key"}}
	}
	if len(tree.Docs) > 1 {
		tok := tree.Docs[1].Start
		return nil, Mistakes{{
			Source: file, Line: tok.Position.Line, Column: tok.Position.Column,
			Value: tok.Value, Expected: "one document in the file",
		}}
	}
	return tree.Docs[0].Body, nil
}

// HasKey reports whether the key at a path is in the file.
func (p Positions) HasKey(path string) bool { return p.byPath[path] != nil }

// LocateProblem returns a problem of a decoded value as a mistake at the position
// of its key. For a missing key, this is the position of the innermost list or
// mapping that would hold the key, or the start of the file.
func (p Positions) LocateProblem(found problem.Problem) Mistake {
	m := Mistake{Source: p.file, Line: 1, Column: 1, Key: found.Path, Value: found.Value, Expected: found.Expected}
	if !p.HasKey(found.Path) {
		// The value of a missing key is not in the file.
		m.Value = ""
	}
	for path := found.Path; path != ""; path = parentPath(path) {
		if position := p.byPath[path]; position != nil {
			m.Line, m.Column = position.Line, position.Column
			break
		}
	}
	return m
}

// parentPath returns the path of the list or mapping that holds a path.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// LocateProblems returns all problems that err lists as Mistakes, or err itself if
// it lists none.
func (p Positions) LocateProblems(err error) error {
	problems, ok := problem.FromError(err)
	if !ok {
		return err
	}
	mistakes := make(Mistakes, len(problems))
	for i, found := range problems {
		mistakes[i] = p.LocateProblem(found)
	}
	return mistakes
}
