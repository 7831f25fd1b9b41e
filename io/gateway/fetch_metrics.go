package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/follow"
)

// fetchMetrics holds the counters of fetches from peers.
type fetchMetrics struct {
	succeeded     *metrics.Counter
	failed        *metrics.Counter
	receivedBytes *metrics.Counter
}

func newFetchMetrics(set *metrics.Set) *fetchMetrics {
	return &fetchMetrics{
		succeeded:     set.NewCounter(`galenaridge_copy_fetches_total{result="succeeded"}`),
		failed:        set.NewCounter(`galenaridge_copy_fetches_total{result="failed"}`),
		receivedBytes: set.NewCounter("galenaridge_copy_received_bytes_total"),
	}
}

// record adds a finished fetch to the counters.
func (m *fetchMetrics) record(report follow.FetchReport) {
	if report.Err != nil {
		m.failed.Inc()
	} else {
		m.succeeded.Inc()
	}
	m.receivedBytes.AddInt64(report.ReceivedBytes)
}
