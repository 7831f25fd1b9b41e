// Package questionnaire holds what a team answers about its deployment and
// generates the configuration document from the answers.
package questionnaire
