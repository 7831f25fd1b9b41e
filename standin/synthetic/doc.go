// Package synthetic builds deployments of any size with configurations that
// match them, for measurements and experiments.
package synthetic
