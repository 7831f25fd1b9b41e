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

// reading is the metrics without labels of one instance at one time.
type reading struct {
	at     time.Time
	values map[string]float64
}

// readInstance reads the metrics of an instance.
func readInstance(ctx context.Context, f *harness.Fleet, slot harness.Slot) (reading, error) {
	text, err := f.InstanceMetrics(ctx, slot)
	if err != nil {
		return reading{}, err
	}
	r := reading{at: time.Now(), values: parseMetrics(text)}
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

// readInstances reads the metrics of several instances side by side.
func readInstances(ctx context.Context, f *harness.Fleet, slots []harness.Slot) (map[harness.Slot]reading, error) {
	var mu sync.Mutex
	readings := map[harness.Slot]reading{}
	p := pool.New().WithContext(ctx).WithFirstError()
	for _, slot := range slots {
		p.Go(func(ctx context.Context) error {
			r, err := readInstance(ctx, f, slot)
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
	// cpu is in percent of a core.
	cpu float64
	// rss and heap are in megabytes.
	rss, heap float64
	// Bytes and messages a second of the calls that the instance starts.
	sentBytes, receivedBytes       float64
	sentMessages, receivedMessages float64
}

// between returns the usage from one reading to a later one.
func between(from, to reading) usage {
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(name string) float64 { return (to.values[name] - from.values[name]) / seconds }
	return usage{
		cpu:              100 * rate(metricCPU),
		rss:              to.values[metricRSS] / megabyte,
		heap:             to.values[metricHeap] / megabyte,
		sentBytes:        rate(metricSentBytes),
		receivedBytes:    rate(metricReceivedBytes),
		sentMessages:     rate(metricSentMessages),
		receivedMessages: rate(metricReceivedMessages),
	}
}

// allBytes is the control traffic of an instance in both directions. What it
// answers to others is counted by them, and is the same over the fleet, so
// the mean over all instances is doubled.
func (u usage) allBytes() float64 { return 2 * (u.sentBytes + u.receivedBytes) }

// mean returns the mean of usages.
func mean(all []usage) usage {
	var m usage
	n := float64(len(all))
	for _, u := range all {
		m.cpu += u.cpu / n
		m.rss += u.rss / n
		m.heap += u.heap / n
		m.sentBytes += u.sentBytes / n
		m.receivedBytes += u.receivedBytes / n
		m.sentMessages += u.sentMessages / n
		m.receivedMessages += u.receivedMessages / n
	}
	return m
}

// measureUsage returns the mean usage of instances over a window, and the
// highest CPU and RSS of one.
func measureUsage(ctx context.Context, f *harness.Fleet, slots []harness.Slot, window time.Duration) (average, highest usage, err error) {
	before, err := readInstances(ctx, f, slots)
	if err != nil {
		return usage{}, usage{}, err
	}
	if err := pause.For(ctx, window); err != nil {
		return usage{}, usage{}, err
	}
	after, err := readInstances(ctx, f, slots)
	if err != nil {
		return usage{}, usage{}, err
	}
	all := make([]usage, 0, len(slots))
	for _, slot := range slots {
		u := between(before[slot], after[slot])
		all = append(all, u)
		highest.cpu = max(highest.cpu, u.cpu)
		highest.rss = max(highest.rss, u.rss)
	}
	return mean(all), highest, nil
}
