// Package strictyaml decodes YAML files that people write. An unknown key, a
// duplicate key, a value of another type and a value that validation rejects are
// reported as mistakes, which name the file, line, column, key and value and
// describe what was expected.
package strictyaml
