// Package loadfile reads descriptions of load for package bench from YAML files.
// Unknown keys, wrong types and invalid values are returned as
// strictyaml.Mistakes with line and column.
package loadfile
