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

// Metrics of an instance that are read.
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

// metricsSample is the metrics without labels of one instance at one time.
type metricsSample struct {
	time   time.Time
	values map[string]float64
}

// readMetrics reads the metrics of an instance.
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

// parseMetrics returns the metrics without labels of a text.
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

// readAllMetrics reads the metrics of several instances side by side.
func readAllMetrics(ctx context.Context, f *harness.Fleet, slots []harness.Slot) (map[harness.Slot]metricsSample, error) {
	var mu sync.Mutex
	readings := map[harness.Slot]metricsSample{}
	p := pool.New().WithContext(ctx).WithFirstError()
	for _, slot := range slots {
		p.Go(func(ctx context.Context) error {
			r, err := readMetrics(ctx, f, slot)
			mu.Lock()
			defer mu.Unlock()
			readings[slot] = r
			return err
		})
	}
	return readings, p.Wait()
}

// usage is what an instance spends: shares and rates over a window, and memory
// at its end.
type usage struct {
	// cpuPercent is in percent of a core.
	cpuPercent float64
	// rssMB and heap are in megabytes.
	rssMB, heapMB float64
	// Bytes and messages a second of the calls that the instance starts.
	sentByteRate, receivedByteRate       float64
	sentMessageRate, receivedMessageRate float64
}

// usageBetween returns the usage from one reading to a later one.
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

// controlByteRate is the control traffic of an instance in both directions. What it
// answers to others is counted by them, and is the same over the fleet, so
// the mean over all instances is doubled.
func (u usage) controlByteRate() float64 { return 2 * (u.sentByteRate + u.receivedByteRate) }

// meanUsage returns the mean of usages.
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

// measureUsage returns the mean usage of instances over a window, and the
// highest CPU and RSS of one.
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
