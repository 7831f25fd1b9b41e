// Package setting reads the settings of a process from a YAML file, the
// environment and flags. No other package reads them.
package setting
