package measure

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"galenaridge/standin/harness"
	"galenaridge/standin/synthetic"
)

// Options selects the measurements and their output.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Out is the directory of slopes.md and the plots.
	Out string
	// Root is the directory of the Go module, in which the Go benchmarks run.
	Root string
	// Sections lists the names of the sections to run; empty means all.
	Sections []string
	// Short measures fewer points for less time. The page marks the figures of
	// such a run as trials.
	Short bool
	Seed  uint64
	// Commit and Machine are printed beside the figures.
	Commit  string
	Machine string
	// Progress receives one line of text for each step.
	Progress func(line string)
}

// Result is the result of one section.
type Result struct {
	// Tables are written in their order.
	Tables []Table
	// Plots maps file names without the extension to plots.
	Plots map[string]*plot.Plot
	// loadBefore and loadAfter are the load averages of the machine over the
	// last minute, read before and after the section.
	loadBefore, loadAfter string
}

// loadAverage returns the load average of the machine over the last minute.
// Latency figures are of little use if it exceeds the number of cores.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.SplitN(string(text), " ", 2)[0]
}

// section is one part of the page with the measurement that produces it.
type section struct {
	name  string
	title string
	run   func(ctx context.Context, o Options) (Result, error)
}

// sections returns all sections in their order on the page.
func sections() []section {
	return []section{
		{"idle", "Control cost of an idle instance", measureIdle},
		{"latency", "Added latency", measureLatency},
		{"capacity", "Requests for each core", measureCapacity},
		{"config", "Time until a configuration is in force", measureConfig},
		{"takeover", "Time to take over the servers of a killed instance", measureTakeover},
		{"micro", "Parts of an instance at the size of two years' time", measureMicro},
	}
}

// SectionNames returns the names of all sections in their order on the page.
func SectionNames() []string {
	var names []string
	for _, s := range sections() {
		names = append(names, s.name)
	}
	return names
}

// plotWidth and plotHeight are the size of each plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Run runs the selected sections and writes the page. Sections that are not
// selected keep their text from an earlier run. The page shows the error of a
// section that fails; the other sections still run, and Run returns the errors
// of all sections as one.
func Run(ctx context.Context, o Options) error {
	for _, name := range o.Sections {
		if !slices.Contains(SectionNames(), name) {
			return eris.Errorf("unknown section %q: expected one of %s", name, strings.Join(SectionNames(), ", "))
		}
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return eris.Wrap(err, "create the output directory")
	}
	page, err := readPage(o.Out)
	if err != nil {
		return err
	}
	var failures []string
	for _, s := range sections() {
		if len(o.Sections) > 0 && !slices.Contains(o.Sections, s.name) {
			continue
		}
		o.Progress("section " + s.name)
		before := loadAverage()
		result, err := s.run(ctx, o)
		result.loadBefore, result.loadAfter = before, loadAverage()
		if err != nil {
			failures = append(failures, s.name+": "+err.Error())
			result.Tables = append(result.Tables, Table{Notes: []string{"This section failed: " + err.Error()}})
		}
		page.set(s, o, result)
		if err := page.write(o.Out); err != nil {
			return err
		}
		if err := savePlots(o.Out, result.Plots); err != nil {
			return err
		}
	}
	if len(failures) > 0 {
		return eris.New(strings.Join(failures, "\n"))
	}
	return nil
}

func savePlots(dir string, plots map[string]*plot.Plot) error {
	for name, p := range plots {
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name+".png")); err != nil {
			return eris.Wrapf(err, "save the plot %s", name)
		}
	}
	return nil
}

// readyTimeout bounds the time until all instances of a fleet are ready.
const readyTimeout = 40 * time.Second

// openFleet starts a fleet of the given shape and waits until all instances are
// ready. The caller closes the fleet.
func openFleet(ctx context.Context, o Options, shape synthetic.Shape) (*harness.Fleet, error) {
	if err := shape.Validate(); err != nil {
		return nil, err
	}
	config, err := shape.Config(1)
	if err != nil {
		return nil, err
	}
	f, err := harness.Open(ctx, harness.Options{Deployment: shape.Deployment(o.Seed), Bin: o.Bin, Config: config})
	if err != nil {
		return nil, eris.Wrap(err, "start the fleet")
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		f.Close()
		return nil, eris.Wrap(err, "wait for the fleet")
	}
	return f, nil
}
