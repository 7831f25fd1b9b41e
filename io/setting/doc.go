// Package setting reads the settings of a process from a YAML file, the
// environment and flags, each overriding the ones before it. No other package
// reads them. Invalid settings are returned as strictyaml.Mistakes, which name
// the file and line, the variable or the flag.
package setting
