// Package document reads and writes answers and configuration documents as
// strict YAML.
package document
