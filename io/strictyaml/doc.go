// Package strictyaml decodes YAML files that people write. An unknown key, a
// key that is given twice, a value of a wrong type and a value that validation
// rejects are mistakes that name file, line, column, key and value, and say
// what was expected.
package strictyaml
