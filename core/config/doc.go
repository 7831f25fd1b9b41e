// Package config defines the configuration document that the questionnaire
// generates and every instance enforces, and the state that adopts documents
// so that the version in force never goes back.
package config
