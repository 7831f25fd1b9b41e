package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

var (
	errNotRunning = eris.New("the process does not run")
	errUnknown    = eris.New("no such part of the deployment")
)

// Options says how to start a deployment.
type Options struct {
	Deployment Deployment
	// Bin is the directory of the programs galenaridge, server, platform and
	// link.
	Bin string
	// InstanceCommand is the command line of an instance without the settings flag;
	// empty means galenaridge serve in Bin.
	InstanceCommand []string
	// Config is the configuration file to publish; empty publishes none.
	Config []byte
	// Dir receives settings and logs and is kept; empty means a temporary
	// directory that Close removes.
	Dir string
}

// Fleet is a running deployment.
type Fleet struct {
	options Options
	layout  *layout
	dir     string
	control control
	starter *starter
	opened  map[string]fleet.Address

	mu        sync.Mutex
	parts     map[string]*process
	instances map[Slot]*instance
	closed    bool
	unhook    func() bool
}

// instance is the process that runs in a slot.
type instance struct {
	id fleet.InstanceID
	*process
}

// Open starts the stand-ins, publishes the list and the configuration, and
// starts the instances. It does not wait for instances to be ready. The end
// of the context closes the fleet.
func Open(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options:   options,
		control:   newControl(),
		starter:   newStarter(),
		parts:     map[string]*process{},
		instances: map[Slot]*instance{},
		unhook:    func() bool { return true },
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	f.mu.Lock()
	f.unhook = context.AfterFunc(ctx, f.Close)
	f.mu.Unlock()
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.layout, err = plan(f.options.Deployment); err != nil {
		return err
	}
	if err := f.makeDir(); err != nil {
		return err
	}
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	if err := f.readLinks(ctx); err != nil {
		return err
	}
	for _, p := range f.layout.places {
		if err := f.startInstance(p, fleet.InstanceID(p.slot)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) makeDir() error {
	if f.options.Dir != "" {
		f.dir = f.options.Dir
		return eris.Wrap(os.MkdirAll(f.dir, 0o700), "make the directory")
	}
	var err error
	f.dir, err = os.MkdirTemp("", "galenaridge-")
	return eris.Wrap(err, "make a temporary directory")
}

// startStandIns starts platform, links and servers side by side.
func (f *Fleet) startStandIns(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithFirstError()
	p.Go(func(ctx context.Context) error {
		return f.startPart(ctx, "platform", f.layout.operators, "platform",
			"--listen", string(f.layout.readers), "--control", string(f.layout.operators))
	})
	p.Go(func(ctx context.Context) error {
		file, err := f.writeJSON("links.json", f.layout.links())
		if err != nil {
			return err
		}
		return f.startPart(ctx, "links", f.layout.control, "link",
			"--file", file, "--control", string(f.layout.control))
	})
	for name, group := range f.layout.groups() {
		p.Go(func(ctx context.Context) error { return f.startServers(ctx, name, group) })
	}
	return p.Wait()
}

// startServers starts one process for a group of servers. A server that runs
// alone keeps a journal of its keys, since it may be killed.
func (f *Fleet) startServers(ctx context.Context, name string, group []server.Options) error {
	group = slices.Clone(group)
	for i, o := range group {
		if slices.Contains(f.options.Deployment.SeparateServers, o.ID) {
			group[i].Journal = f.journalFile(o.ID)
		}
	}
	file, err := f.writeJSON(name+".json", group)
	if err != nil {
		return err
	}
	last := group[len(group)-1].Control
	return f.startPart(ctx, name, last, "server", "--file", file)
}

// startPart starts a stand-in and waits until it listens at the address that
// it opens last.
func (f *Fleet) startPart(ctx context.Context, name string, address fleet.Address, program string, args ...string) error {
	argv := append([]string{filepath.Join(f.options.Bin, program)}, args...)
	p, err := f.starter.start(name, f.logFile(name), argv...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.parts[name] = p
	f.mu.Unlock()
	return awaitListen(ctx, p, address)
}

// publish gives the platform its values. The lag is set after that, so that
// the first list is visible at once.
func (f *Fleet) publish(ctx context.Context) error {
	if err := f.control.send(ctx, http.MethodPut, f.layout.operators, "/v1/list", f.layout.listing()); err != nil {
		return err
	}
	if len(f.options.Config) > 0 {
		if err := f.PublishConfig(ctx, f.options.Config); err != nil {
			return err
		}
	}
	return f.SetPlatformFault(ctx, platform.Fault{})
}

// readLinks reads at which addresses the links listen.
func (f *Fleet) readLinks(ctx context.Context) error {
	expected := len(f.layout.links())
	var states []link.State
	f.mu.Lock()
	p := f.parts["links"]
	f.mu.Unlock()
	// The control listener is open before the links are.
	err := poll(ctx, p, func() bool {
		return f.control.get(ctx, f.layout.control, "/links", &states) == nil && len(states) == expected
	})
	if err != nil {
		return err
	}
	f.opened = map[string]fleet.Address{}
	for _, s := range states {
		f.opened[s.Name] = s.Listen
	}
	return nil
}

// startInstance writes the settings of a slot and starts its process.
func (f *Fleet) startInstance(p place, id fleet.InstanceID) error {
	file := filepath.Join(f.dir, string(id)+".yaml")
	if err := writeSettings(file, f.layout.settings(p, id, f.opened)); err != nil {
		return err
	}
	argv := f.options.InstanceCommand
	if len(argv) == 0 {
		argv = []string{filepath.Join(f.options.Bin, "galenaridge"), "serve"}
	}
	argv = append(append([]string(nil), argv...), "--settings", file)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errNotRunning
	}
	started, err := f.starter.start(string(id), f.logFile(string(p.slot)), argv...)
	if err != nil {
		return err
	}
	f.instances[p.slot] = &instance{id, started}
	return nil
}

// Close ends all processes by their ids, releases the ports and removes the
// temporary directory.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.unhook()
	for _, in := range f.instances {
		in.kill()
	}
	for _, p := range f.parts {
		p.kill()
	}
	f.starter.stop()
	if f.layout != nil {
		f.layout.release()
	}
	if f.options.Dir == "" && f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *Fleet) logFile(name string) string { return filepath.Join(f.dir, name+".log") }

func (f *Fleet) journalFile(id fleet.ServerID) string {
	return filepath.Join(f.dir, string(id)+".keys")
}

func (f *Fleet) writeJSON(name string, value any) (string, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrapf(err, "encode %s", name)
	}
	file := filepath.Join(f.dir, name)
	return file, eris.Wrapf(os.WriteFile(file, text, 0o600), "write %s", name)
}

// withLag adds the deployment's lag to a fault that gives none.
func (f *Fleet) withLag(fault platform.Fault) platform.Fault {
	if fault.ListLag == 0 {
		fault.ListLag = jsontime.Duration(f.options.Deployment.ListLag)
	}
	return fault
}
