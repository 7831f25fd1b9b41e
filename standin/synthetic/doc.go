// Package synthetic generates deployments of any size and matching configurations
// for measurements and experiments.
package synthetic
