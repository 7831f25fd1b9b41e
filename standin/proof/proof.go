package proof

import (
	"context"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Options says how to run proofs.
type Options struct {
	// Deployment is the name of a file with answers in Examples.
	Deployment string
	Instances  int
	Seed       uint64
	// Short runs each proof for a few seconds.
	Short bool
	// Bin is the directory of the programs galenaridge, server, platform and
	// link.
	Bin string
	// Examples is the directory of the answers.
	Examples string
	// Logs receives the logs of the processes and is kept; empty keeps none.
	Logs string
	// Progress receives what a proof does at the moment; may be nil.
	Progress io.Writer
}

// Proof checks one invariant.
type Proof struct {
	Name string
	run  func(ctx context.Context, options Options, verdict *Verdict) error
}

// All returns all proofs in their order.
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

// Find returns the proofs with the given names, in that order.
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

// Run carries out the proof and ends all processes that it started.
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
