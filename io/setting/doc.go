// Package setting reads the settings of a process from a YAML file, the
// environment and flags, each overriding the ones before it. No other package
// reads them. Wrong settings are strictyaml.Mistakes, which name the file and
// line, the variable or the flag.
package setting
