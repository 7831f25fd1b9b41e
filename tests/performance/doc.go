// Package performance measures paths through whole instances in one process.
// Its benchmarks are not beside the code, because the HTTP clients that they
// use leave goroutines behind for a while, which the leak checks of unit tests
// report.
package performance
