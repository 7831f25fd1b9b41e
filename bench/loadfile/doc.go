// Package loadfile reads load for package bench from YAML files. Unknown keys,
// wrong types and wrong values are strictyaml.Mistakes with line and column.
package loadfile
