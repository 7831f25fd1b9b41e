// Package config defines the configuration document that the questionnaire generates and
// every instance enforces. It also defines the state that adopts documents and never
// replaces one by a document of a lower version.
//
// State is control state: one goroutine offers documents to it. View is the immutable
// active configuration, which traffic goroutines read.
package config
