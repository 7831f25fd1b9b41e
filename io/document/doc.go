// Package document reads and writes questionnaire answers and configuration
// documents as strict YAML. Errors in the content of a file, including an incorrect
// digest of a configuration, are returned as strictyaml.Mistakes.
package document
