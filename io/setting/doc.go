// Package setting reads the settings of a process from a YAML file, the
// environment and flags. The environment overrides the file, and flags
// override both. No other package reads them. Invalid settings are returned as
// strictyaml.Mistakes, which name the file and line, the variable or the flag.
package setting
