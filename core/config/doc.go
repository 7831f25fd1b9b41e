// Package config defines the configuration document that the questionnaire
// generates and every instance enforces, and the state that adopts documents
// so that the version in force never goes back.
//
// State is control state: one goroutine offers documents to it. View is the
// immutable configuration in force, which traffic goroutines read.
package config
