package strictyaml

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"galenaridge/core/problem"
)

// keysOf returns the keys of a struct type in the order of its fields.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, keyOf(t.Field(i)))
	}
	return keys
}

// keyOf returns the key of a struct field, by its yaml tag.
func keyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// schema compares a YAML tree with a Go type. The library's own strict mode
// reports Go type names and stops at the first mistake.
type schema struct {
	file      string
	positions map[string]*token.Position
	mistakes  Mistakes
}

func (s *schema) add(path string, at *token.Token, value, expected string) {
	s.mistakes = append(s.mistakes, Mistake{
		Source: s.file, Line: at.Position.Line, Column: at.Position.Column,
		Key: path, Value: value, Expected: expected,
	})
}

// check adds the mistakes of a node that is to be decoded into a type.
func (s *schema) check(path string, node ast.Node, t reflect.Type) {
	s.positions[path] = node.GetToken().Position
	switch {
	case isText(t) || t == durationType:
		s.checkScalar(path, node, t)
	case t.Kind() == reflect.Struct:
		s.checkStruct(path, node, t)
	case t.Kind() == reflect.Map:
		s.checkMap(path, node, t)
	case t.Kind() == reflect.Slice:
		s.checkSlice(path, node, t)
	default:
		s.checkScalar(path, node, t)
	}
}

func (s *schema) checkScalar(path string, node ast.Node, t reflect.Type) {
	at := node.GetToken()
	expected := SetScalar(reflect.New(t).Elem(), at.Value)
	switch n := node.(type) {
	case *ast.StringNode:
		if quoted(n) && expected == "" && t.Kind() != reflect.String && !isText(t) && t != durationType {
			expected = "a value without quotes"
		}
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		if t.Kind() == reflect.String {
			expected = "a text; put it in quotes"
		}
	case *ast.NullNode:
		s.add(path, at, "", expectedOf(t))
		return
	default:
		s.add(path, at, at.Value, expectedOf(t)+" on one line, without anchors, aliases and tags")
		return
	}
	if expected != "" {
		s.add(path, at, at.Value, expected)
	}
}

func quoted(n *ast.StringNode) bool {
	return n.Token.Type == token.SingleQuoteType || n.Token.Type == token.DoubleQuoteType
}

// expectedOf describes a value of a type for a node of a wrong kind.
func expectedOf(t reflect.Type) string {
	switch {
	case isText(t):
		return choices(t)
	case t.Kind() == reflect.String:
		return "a text"
	}
	return SetScalar(reflect.New(t).Elem(), "?")
}

// entries returns the entries of a mapping, and false if node is none.
func (s *schema) entries(path string, node ast.Node) ([]*ast.MappingValueNode, bool) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		s.add(path, node.GetToken(), valueOf(node), "keys with values below it")
		return nil, false
	}
	seen := make(map[string]bool, len(mapping.Values))
	var entries []*ast.MappingValueNode
	for _, entry := range mapping.Values {
		at := entry.Key.GetToken()
		if seen[at.Value] {
			s.add(join(path, at.Value), at, valueOf(entry.Value), "each key once")
			continue
		}
		seen[at.Value] = true
		entries = append(entries, entry)
	}
	return entries, true
}

func (s *schema) checkStruct(path string, node ast.Node, t reflect.Type) {
	entries, _ := s.entries(path, node)
	for _, entry := range entries {
		at := entry.Key.GetToken()
		field, ok := fieldOf(t, at.Value)
		if !ok {
			s.add(join(path, at.Value), at, valueOf(entry.Value), "one of the keys "+strings.Join(keysOf(t), ", "))
			continue
		}
		s.check(join(path, at.Value), entry.Value, field.Type)
	}
}

func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if keyOf(t.Field(i)) == key {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func (s *schema) checkMap(path string, node ast.Node, t reflect.Type) {
	entries, _ := s.entries(path, node)
	for _, entry := range entries {
		s.check(join(path, entry.Key.GetToken().Value), entry.Value, t.Elem())
	}
}

func (s *schema) checkSlice(path string, node ast.Node, t reflect.Type) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		s.add(path, node.GetToken(), valueOf(node), "a list")
		return
	}
	for i, value := range sequence.Values {
		s.check(problem.Index(path, i), value, t.Elem())
	}
}

// valueOf returns a scalar as written, and the kind of anything else.
func valueOf(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return ""
	}
	return node.GetToken().Value
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
