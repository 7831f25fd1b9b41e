package experiment

import (
	"fmt"
	"strings"
	"time"

	"galenaridge/bench/loadfile"
	"galenaridge/core/fleet"
	"galenaridge/core/problem"
	"galenaridge/io/strictyaml"
	"galenaridge/standin/harness"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
	"galenaridge/standin/synthetic"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	// Name is also the name of the results directory.
	Name string `yaml:"name"`
	// Deployment is kuvuka, bluemahoe or synthetic.
	Deployment Deployment `yaml:"deployment"`
	// Instances is the number of instances of kuvuka and bluemahoe; zero means
	// 12.
	Instances int `yaml:"instances"`
	// Synthetic is the size of a synthetic deployment.
	Synthetic synthetic.Shape `yaml:"synthetic"`
	// ListLag is the delay until readers of the platform's listing see a
	// change.
	ListLag time.Duration `yaml:"lag"`
	// SettleTime is the wait between the readiness of the fleet and the start
	// of the load; zero means 3 s.
	SettleTime time.Duration `yaml:"settle"`
	// EntryCount is the number of instances whose addresses callers start with;
	// zero means all.
	EntryCount int           `yaml:"entries"`
	Load       loadfile.Load `yaml:"load"`
	Faults     []Fault       `yaml:"faults"`
	Seed       uint64        `yaml:"seed"`
}

// Fault is one fault of an experiment. The action decides which of the other
// fields apply.
type Fault struct {
	// StartOffset is the time of the fault, measured from the start of the
	// load.
	StartOffset time.Duration `yaml:"at"`
	Action      Action        `yaml:"do"`
	// Instance is the slot for kill, pause, resume, stop, restart and replace.
	Instance harness.Slot `yaml:"instance"`
	// Server is the server for server-fault and drain.
	Server fleet.ServerID `yaml:"server"`
	// ServerFaultKind, Factor, SharePercent and Period describe a server-fault;
	// server.Fault explains the factor and the period.
	ServerFaultKind server.FaultKind `yaml:"fault"`
	Factor          int              `yaml:"factor"`
	// SharePercent is the percentage of requests that the fault affects; zero
	// means all.
	SharePercent int           `yaml:"share"`
	Period       time.Duration `yaml:"period"`
	// From and To are the link ends for cut and heal. Heal without them removes
	// all cuts.
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// BothDirections makes cut and heal apply from To to From as well.
	BothDirections bool `yaml:"both"`
	// PlatformMode is the mode that platform-fault sets.
	PlatformMode platform.Mode `yaml:"mode"`
}

// Defaults and limits of an experiment.
const (
	defaultInstances  = 12
	maxInstances      = 48
	defaultSettleTime = 3 * time.Second
	maxSettleTime     = time.Minute
)

// Decode parses and validates an experiment. An error names the file and the
// position of the problem; the file name has no other use.
func Decode(file string, data []byte) (Experiment, error) {
	var e Experiment
	positions, err := strictyaml.Decode(file, data, &e)
	if err != nil {
		return Experiment{}, err
	}
	var c problem.Checker
	e.check(&c)
	if err := c.Err(); err != nil {
		return Experiment{}, positions.LocateProblems(err)
	}
	if e.Deployment == Synthetic {
		if err := e.Synthetic.Validate(); err != nil {
			return Experiment{}, positions.LocateProblems(prefixPaths("synthetic.", err))
		}
	}
	return e, nil
}

// prefixPaths adds a prefix to the path of each problem in the error. Other
// errors stay as they are.
func prefixPaths(prefix string, err error) error {
	list, ok := problem.FromError(err)
	if !ok {
		return err
	}
	for i := range list {
		list[i].Path = prefix + list[i].Path
	}
	return list
}

// String returns the action with its targets, such as "kill i2".
func (f Fault) String() string {
	words := []string{f.Action.String(), string(f.Instance), string(f.Server)}
	switch f.Action {
	case ServerFault:
		words = append(words, f.ServerFaultKind.String())
	case PlatformFault:
		words = append(words, f.PlatformMode.String())
	case Cut, Heal:
		words = append(words, f.From, f.To)
	default:
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// check adds each problem of the experiment to c, except those of the synthetic
// shape.
func (e Experiment) check(c *problem.Checker) {
	c.CheckName("name", e.Name)
	problem.CheckRange(c, "instances", e.Instances, 0, maxInstances)
	c.CheckDuration("settle", e.SettleTime, 0, maxSettleTime)
	c.CheckDuration("lag", e.ListLag, 0, time.Hour)
	problem.CheckRange(c, "entries", e.EntryCount, 0, e.deployment().Instances)
	e.Load.Check(c, "load.")
	for i, k := range e.Load.Mix {
		c.Require(e.hasService(k.Service), problem.IndexedPath("load.mix", i)+".service", k.Service, "a service of the deployment")
	}
	for i, f := range e.Faults {
		e.checkFault(c, problem.IndexedPath("faults", i), f)
	}
}

// checkFault adds the problems of a fault whose path in the file is given.
func (e Experiment) checkFault(c *problem.Checker, path string, f Fault) {
	c.CheckDuration(path+".at", f.StartOffset, 0, e.Load.Duration())
	if f.Action.needsInstance() {
		c.Require(e.hasSlot(f.Instance), path+".instance", f.Instance, fmt.Sprintf("i1 to i%d", e.deployment().Instances))
	}
	if f.Action == ServerFault || f.Action == Drain {
		c.Require(e.hasServer(f.Server), path+".server", f.Server, "a server of the deployment, such as "+string(e.firstServer()))
	}
	problem.CheckRange(c, path+".share", f.SharePercent, 0, 100)
	c.Require(f.ServerFaultKind != server.FaultSlow || f.Factor > 0, path+".factor", f.Factor, "above 0 for a slow server")
	c.CheckDuration(path+".period", f.Period, 0, time.Hour)
	if f.Action == Cut || (f.Action == Heal && f.From+f.To != "") {
		e.checkLinkEnd(c, path+".from", f.From)
		e.checkLinkEnd(c, path+".to", f.To)
	}
}

func (e Experiment) checkLinkEnd(c *problem.Checker, path, name string) {
	_, ok := e.linkEnd(name)
	c.Require(ok, path, name, `"domain/NAME", "instance/NAME", "server/NAME", "platform" or "clients" of the deployment`)
}
