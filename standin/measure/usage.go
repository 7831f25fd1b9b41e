package measure

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
)

// Names of the metrics that are read from instances.
const (
	metricCPU              = "process_cpu_seconds_total"
	metricRSS              = "process_resident_memory_bytes"
	metricHeap             = "go_memstats_heap_alloc_bytes"
	metricSentBytes        = "galenaridge_control_sent_bytes"
	metricReceivedBytes    = "galenaridge_control_received_bytes"
	metricSentMessages     = "galenaridge_control_sent_messages"
	metricReceivedMessages = "galenaridge_control_received_messages"
	metricOwned            = "galenaridge_servers_owned"
)

const megabyte = 1e6

// metricsSample holds the metrics without labels of one instance, read at one
// time.
type metricsSample struct {
	time   time.Time
	values map[string]float64
}

// readMetrics reads the metrics of one instance. It fails if they
// cannot be read or lack the CPU time.
func readMetrics(ctx context.Context, f *harness.Fleet, slot harness.Slot) (metricsSample, error) {
	text, err := f.InstanceMetrics(ctx, slot)
	if err != nil {
		return metricsSample{}, err
	}
	r := metricsSample{time: time.Now(), values: parseMetrics(text)}
	if _, ok := r.values[metricCPU]; !ok {
		return r, eris.Errorf("%s has no metric %s", slot, metricCPU)
	}
	return r, nil
}

// parseMetrics returns the metrics without labels from a text in the Prometheus
// format. Lines that it cannot parse are ignored.
func parseMetrics(text []byte) map[string]float64 {
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.ContainsAny(name, "{#") {
			continue
		}
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil {
			values[name] = v
		}
	}
	return values
}

// readAllMetrics reads the metrics of several instances concurrently.
func readAllMetrics(ctx context.Context, f *harness.Fleet, slots []harness.Slot) (map[harness.Slot]metricsSample, error) {
	var mu sync.Mutex
	samples := map[harness.Slot]metricsSample{}
	p := pool.New().WithContext(ctx).WithFirstError()
	for _, slot := range slots {
		p.Go(func(ctx context.Context) error {
			r, err := readMetrics(ctx, f, slot)
			mu.Lock()
			defer mu.Unlock()
			samples[slot] = r
			return err
		})
	}
	return samples, p.Wait()
}

// usage is the resource usage of an instance. CPU, bytes and messages are means
// over a window; memory is read at the end of the window.
type usage struct {
	// cpuPercent is the CPU time in percent of one core.
	cpuPercent float64
	// rssMB and heapMB are in megabytes of 1e6 bytes.
	rssMB, heapMB float64
	// Bytes and messages a second of the control calls that the instance
	// starts.
	sentByteRate, receivedByteRate       float64
	sentMessageRate, receivedMessageRate float64
}

// usageBetween returns the usage between two samples of one instance.
func usageBetween(before, after metricsSample) usage {
	seconds := after.time.Sub(before.time).Seconds()
	rate := func(name string) float64 { return (after.values[name] - before.values[name]) / seconds }
	return usage{
		cpuPercent:          100 * rate(metricCPU),
		rssMB:               after.values[metricRSS] / megabyte,
		heapMB:              after.values[metricHeap] / megabyte,
		sentByteRate:        rate(metricSentBytes),
		receivedByteRate:    rate(metricReceivedBytes),
		sentMessageRate:     rate(metricSentMessages),
		receivedMessageRate: rate(metricReceivedMessages),
	}
}

// controlByteRate returns the control traffic of an instance, in bytes a
// second, sent and received together. An instance counts only the calls that it
// starts; the calls that it serves are counted by the instances that start them.
// Over the whole fleet both parts are equal, so the sum is doubled. The result is
// correct only for the mean over all instances.
func (u usage) controlByteRate() float64 { return 2 * (u.sentByteRate + u.receivedByteRate) }

// meanUsage returns the mean of each field; zero if there are no usages.
func meanUsage(all []usage) usage {
	var m usage
	n := float64(len(all))
	for _, u := range all {
		m.cpuPercent += u.cpuPercent / n
		m.rssMB += u.rssMB / n
		m.heapMB += u.heapMB / n
		m.sentByteRate += u.sentByteRate / n
		m.receivedByteRate += u.receivedByteRate / n
		m.sentMessageRate += u.sentMessageRate / n
		m.receivedMessageRate += u.receivedMessageRate / n
	}
	return m
}

// measureUsage returns the mean usage of the instances over a window, and the
// highest CPU and RSS of any of them. Other fields of maximum are zero.
func measureUsage(ctx context.Context, f *harness.Fleet, slots []harness.Slot, window time.Duration) (average, maximum usage, err error) {
	before, err := readAllMetrics(ctx, f, slots)
	if err != nil {
		return usage{}, usage{}, err
	}
	if err := pause.For(ctx, window); err != nil {
		return usage{}, usage{}, err
	}
	after, err := readAllMetrics(ctx, f, slots)
	if err != nil {
		return usage{}, usage{}, err
	}
	all := make([]usage, 0, len(slots))
	for _, slot := range slots {
		u := usageBetween(before[slot], after[slot])
		all = append(all, u)
		maximum.cpuPercent = max(maximum.cpuPercent, u.cpuPercent)
		maximum.rssMB = max(maximum.rssMB, u.rssMB)
	}
	return meanUsage(all), maximum, nil
}
