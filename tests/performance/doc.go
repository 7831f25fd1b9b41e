// Package performance contains benchmarks of requests through whole instances in
// one process. They are separate from the measured packages, because goroutines
// of their HTTP clients remain for a while after a benchmark, which the leak
// checks of the packages' unit tests would report.
package performance
