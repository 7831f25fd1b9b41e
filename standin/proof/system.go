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
	// readyTimeout bounds the start of a fleet. 48 instances need several
	// seconds on a busy machine.
	readyTimeout = 60 * time.Second
	// listLag is how late readers receive changes of the platform's listing.
	listLag = 2 * time.Second
)

// customize changes a deployment and its answers before the start.
type customize func(d *harness.Deployment, a *questionnaire.Answers)

// system is a running deployment under test, with the answers and the
// configuration that it runs with.
type system struct {
	options    Options
	fleet      *harness.Fleet
	deployment harness.Deployment
	answers    questionnaire.Answers
	document   config.Document
	rng        *rand.Rand
	// seedCounter gives each load and each caller its own seed.
	seedCounter uint64
}

// startSystem starts a deployment from its example answers and waits until it
// is ready. The customization may be nil.
func startSystem(ctx context.Context, options Options, name string, customization customize) (*system, error) {
	s := &system{options: options, rng: rand.New(rand.NewPCG(options.Seed, 5))}
	if err := s.readAnswers(); err != nil {
		return nil, err
	}
	s.deployment = buildDeployment(s.answers, options)
	if customization != nil {
		customization(&s.deployment, &s.answers)
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

func (s *system) close() { s.fleet.Close() }

func (s *system) readAnswers() error {
	file := filepath.Join(s.options.Examples, s.options.Deployment+".yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read the answers")
	}
	s.answers, err = document.DecodeAnswers(file, text)
	return err
}

// buildDeployment returns the deployment that the answers describe, with the
// links of its preset.
func buildDeployment(a questionnaire.Answers, options Options) harness.Deployment {
	d := harness.Kuvuka(options.Instances)
	if options.Deployment == "bluemahoe" {
		d = harness.BlueMahoe(options.Instances)
	}
	d.Domains = a.Domains
	d.ListLag = listLag
	d.Seed = options.Seed
	for i, service := range a.Services {
		d.Services[i].Name = service.Name
		d.Services[i].Servers = int(service.Servers)
		d.Services[i].Slots = service.Slots
		d.Services[i].Conns = service.Conns
	}
	return d
}

// nextConfig generates the next version of the configuration from the answers.
func (s *system) nextConfig() ([]byte, error) {
	draft, err := questionnaire.Generate(s.answers, s.document.Version)
	if err != nil {
		return nil, err
	}
	s.document = draft.Document
	return document.EncodeConfig(draft.Document, draft.Notes)
}

// waitReady waits until all instances are ready and all servers have an owner.
func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.fleet.WaitReady(ctx); err != nil {
		return err
	}
	return s.waitUntil(ctx, readyTimeout, "all servers are owned", func() bool {
		return countOwnedServers(s.readStates(ctx)) == len(s.fleet.Servers())
	})
}

// waitPermits waits until the steward of each service counts all servers as
// usable, and then for one permit TTL, during which a new steward grants no
// permits.
func (s *system) waitPermits(ctx context.Context) error {
	err := s.waitUntil(ctx, readyTimeout, "stewards count all servers as usable", func() bool {
		counted := 0
		for _, state := range s.readStates(ctx) {
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

// waitUntil polls a condition until it is true. It returns an error with the
// description after the timeout.
func (s *system) waitUntil(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("not reached within %s: %s", timeout, description)
		}
	}
	return nil
}

// runLoad runs a load plan and a script of faults at the same time, and returns
// the report after both have ended.
func (s *system) runLoad(ctx context.Context, plan bench.Plan, caller bench.Caller, script script) (bench.Report, error) {
	s.seedCounter++
	plan.Seed = s.options.Seed*1000 + s.seedCounter
	plan.MaxRequests = maxRequestsPerLoad
	waitScript := script.start(ctx, s)
	report, err := bench.Run(ctx, bench.Options{Plan: plan, Caller: caller})
	scriptErr := waitScript()
	if err != nil {
		return report, err
	}
	return report, scriptErr
}

// maxRequestsPerLoad bounds the requests of each load.
const maxRequestsPerLoad = 200_000

// newClient returns a client in the failure domain that the number selects.
func (s *system) newClient(number int) (*client.Client, error) {
	s.seedCounter++
	return client.New(client.Options{
		Entries:       s.fleet.Entries(),
		Domain:        s.deployment.Domains[number%len(s.deployment.Domains)],
		DialAddresses: s.fleet.ClientDialAddresses(),
		Seed:          s.options.Seed*1000 + s.seedCounter,
	})
}

func (s *system) randomSlot() harness.Slot {
	slots := s.fleet.Slots()
	return slots[s.rng.IntN(len(slots))]
}

// slotOfAddress returns the slot with the given caller address, and false if
// there is none.
func (s *system) slotOfAddress(address fleet.Address) (harness.Slot, bool) {
	for _, slot := range s.fleet.Slots() {
		if s.fleet.Entry(slot) == address {
			return slot, true
		}
	}
	return "", false
}

// sleep waits for d. It returns false if the context ends first.
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

func (s *system) progress(format string, values ...any) {
	if s.options.Progress != nil {
		_, _ = fmt.Fprintf(s.options.Progress, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
	}
}
