package proof

import (
	"context"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Options configures a run of proofs.
type Options struct {
	// Deployment is the name, without .yaml, of a file with answers in
	// Examples.
	Deployment string
	Instances  int
	Seed       uint64
	// Short reduces each proof to a few seconds.
	Short bool
	// Bin is the directory of the programs galenaridge, server, platform and
	// link.
	Bin string
	// Examples is the directory of the files with answers.
	Examples string
	// Logs is the directory for the logs of the processes, with a folder for
	// each proof. If it is empty, the logs are not kept.
	Logs string
	// Progress receives a line for each step of a proof. It may be nil.
	Progress io.Writer
}

// Proof checks one invariant.
type Proof struct {
	Name string
	run  func(ctx context.Context, options Options, verdict *Verdict) error
}

// All returns all proofs, in the order in which they run.
func All() []Proof {
	return []Proof{
		{"once", proveOnce},
		{"slots", proveSlots},
		{"whole", proveWhole},
		{"stop", proveStop},
		{"config", proveConfig},
		{"gray", proveGray},
		{"floor", proveFloor},
		{"leaving", proveLeaving},
		{"overload", proveOverload},
		{"membership48", proveMembership},
	}
}

// Find returns the proofs with the given names, in the order of the names. A
// name without a proof is an error.
func Find(names []string) ([]Proof, error) {
	all := All()
	var found []Proof
	for _, name := range names {
		i := slices.IndexFunc(all, func(p Proof) bool { return p.Name == name })
		if i < 0 {
			return nil, eris.Errorf("there is no proof %q", name)
		}
		found = append(found, all[i])
	}
	return found, nil
}

// Run carries out the proof and ends all processes that it started. An error is
// returned as the Failure of the verdict.
func (p Proof) Run(ctx context.Context, options Options) *Verdict {
	v := &Verdict{
		Proof:      p.Name,
		Deployment: options.Deployment,
		Instances:  options.Instances,
		Seed:       options.Seed,
	}
	if err := p.run(ctx, options, v); err != nil {
		v.Failure = err.Error()
	}
	return v
}
