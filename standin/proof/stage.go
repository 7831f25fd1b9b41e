package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
	"galenaridge/standin/harness"
)

const (
	// readyTimeout bounds the start of a fleet; 48 instances need several
	// seconds on a busy machine.
	readyTimeout = 60 * time.Second
	// listLag is how far the platform's list is behind.
	listLag = 2 * time.Second
)

// setup changes a deployment and its answers before the start.
type setup func(d *harness.Deployment, a *questionnaire.Answers)

// stage is a running deployment with what a proof needs around it.
type stage struct {
	options    Options
	fleet      *harness.Fleet
	deployment harness.Deployment
	answers    questionnaire.Answers
	document   config.Document
	rng        *rand.Rand
	// runs numbers the loads, since each needs a seed of its own.
	runs uint64
}

// open starts a deployment from its example answers and waits until it is
// ready.
func open(ctx context.Context, options Options, name string, change setup) (*stage, error) {
	s := &stage{options: options, rng: rand.New(rand.NewPCG(options.Seed, 5))}
	if err := s.readAnswers(); err != nil {
		return nil, err
	}
	s.deployment = deploymentOf(s.answers, options)
	if change != nil {
		change(&s.deployment, &s.answers)
	}
	text, err := s.nextConfig()
	if err != nil {
		return nil, err
	}
	dir := ""
	if options.Logs != "" {
		dir = filepath.Join(options.Logs, name)
	}
	s.progress("%s: start %d instances of %s", name, s.deployment.Instances, s.deployment.Name)
	s.fleet, err = harness.Open(ctx, harness.Options{Deployment: s.deployment, Bin: options.Bin, Config: text, Dir: dir})
	if err != nil {
		return nil, err
	}
	if err := s.waitReady(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stage) close() { s.fleet.Close() }

func (s *stage) readAnswers() error {
	file := filepath.Join(s.options.Examples, s.options.Deployment+".yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read the answers")
	}
	s.answers, err = document.DecodeAnswers(file, text)
	return err
}

// deploymentOf returns the deployment that the answers describe, with the
// links of the presets.
func deploymentOf(a questionnaire.Answers, options Options) harness.Deployment {
	d := harness.Kuvuka(options.Instances)
	if options.Deployment == "bluemahoe" {
		d = harness.BlueMahoe(options.Instances)
	}
	d.Domains = a.Domains
	d.ListLag = listLag
	d.Seed = options.Seed
	for i, answer := range a.Services {
		d.Services[i].Name = answer.Name
		d.Services[i].Servers = int(answer.Servers)
		d.Services[i].Slots = answer.Slots
		d.Services[i].Conns = answer.Conns
	}
	return d
}

// nextConfig generates the configuration with the next version.
func (s *stage) nextConfig() ([]byte, error) {
	draft, err := questionnaire.Generate(s.answers, s.document.Version)
	if err != nil {
		return nil, err
	}
	s.document = draft.Document
	return document.EncodeConfig(draft.Document, draft.Notes)
}

// waitReady waits until all instances are ready and own their servers.
func (s *stage) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.fleet.WaitReady(ctx); err != nil {
		return err
	}
	return s.await(ctx, readyTimeout, "all servers are owned", func() bool {
		return ownedServers(s.states(ctx)) == len(s.fleet.Servers())
	})
}

// waitPermits waits until the steward of each service counts all servers and
// may grant permits, which takes some seconds after a start.
func (s *stage) waitPermits(ctx context.Context) error {
	err := s.await(ctx, readyTimeout, "stewards count all servers", func() bool {
		counted := 0
		for _, state := range s.states(ctx) {
			for _, service := range state.Services {
				if service.IsSteward {
					counted += int(service.UsableServers)
				}
			}
		}
		return counted == len(s.fleet.Servers())
	})
	if err != nil {
		return err
	}
	if !sleep(ctx, floor.PermitTTL) {
		return ctx.Err()
	}
	return nil
}

// await polls a condition until it holds.
func (s *stage) await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("after %s it does not hold that %s", limit, what)
		}
	}
	return nil
}

// load runs a plan beside a script of faults and returns the report after
// both have ended.
func (s *stage) load(ctx context.Context, plan bench.Plan, caller bench.Caller, script script) (bench.Report, error) {
	s.runs++
	plan.Seed = s.options.Seed*1000 + s.runs
	plan.MaxRequests = maxRequests
	done := script.start(ctx, s)
	report, err := bench.Run(ctx, bench.Options{Plan: plan, Caller: caller})
	failure := done()
	if err != nil {
		return report, err
	}
	return report, failure
}

// maxRequests bounds each load.
const maxRequests = 200_000

// client returns a client whose failure domain has the number.
func (s *stage) client(domain int) (*client.Client, error) {
	s.runs++
	return client.New(client.Options{
		Entries: s.fleet.Entries(),
		Domain:  s.deployment.Domains[domain%len(s.deployment.Domains)],
		Via:     s.fleet.ClientVia(),
		Seed:    s.options.Seed*1000 + s.runs,
	})
}

// pick returns a random slot.
func (s *stage) pick() harness.Slot {
	slots := s.fleet.Slots()
	return slots[s.rng.IntN(len(slots))]
}

// slotAt returns the slot whose callers' address is given.
func (s *stage) slotAt(address fleet.Address) (harness.Slot, bool) {
	for _, slot := range s.fleet.Slots() {
		if s.fleet.Entry(slot) == address {
			return slot, true
		}
	}
	return "", false
}

// sleep waits, or returns false at the end of the context.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *stage) progress(format string, values ...any) {
	if s.options.Progress != nil {
		_, _ = fmt.Fprintf(s.options.Progress, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
	}
}
