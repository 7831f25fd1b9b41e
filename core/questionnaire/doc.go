// Package questionnaire holds what a team answers about its deployment, and
// generates the configuration document from the answers.
//
// Generation is deterministic: the same answers and the same previous version
// give the same document. Every number of the document that is derived comes
// with a note that says how, so that operators can check it.
package questionnaire
