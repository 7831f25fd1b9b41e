// Package document reads and writes answers and configuration documents as
// strict YAML. Mistakes in a file are strictyaml.Mistakes; a configuration
// whose digest does not fit is a mistake too.
package document
