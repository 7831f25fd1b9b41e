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
	errNotRunning  = eris.New("the process does not run")
	errUnknownPart = eris.New("no such part of the deployment")
)

// Options describes the deployment to start and its programs and files.
type Options struct {
	Deployment Deployment
	// Bin is the directory that holds the programs galenaridge, server,
	// platform and link.
	Bin string
	// InstanceCommand is the command line of an instance without the --settings
	// flag; empty means "galenaridge serve" from Bin.
	InstanceCommand []string
	// Config is the configuration document to publish on the platform; if it
	// is empty, none is published.
	Config []byte
	// Dir is the directory for settings, logs and journals, which Close keeps;
	// empty means a temporary directory, which Close removes.
	Dir string
}

// Fleet is a running deployment.
type Fleet struct {
	options       Options
	layout        *layout
	dir           string
	control       control
	starter       *starter
	linkAddresses map[string]fleet.Address

	mu              sync.Mutex
	standIns        map[string]*process
	instances       map[Slot]*instance
	closed          bool
	stopContextHook func() bool
}

// instance is the latest process that was started in a slot.
type instance struct {
	id fleet.InstanceID
	*process
}

// Open starts the stand-ins, publishes the platform's listing and the
// configuration, and starts the instances. It does not wait until the instances
// are ready. The end of the context closes the fleet.
func Open(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options:         options,
		control:         newControl(),
		starter:         newStarter(),
		standIns:        map[string]*process{},
		instances:       map[Slot]*instance{},
		stopContextHook: func() bool { return true },
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	f.mu.Lock()
	f.stopContextHook = context.AfterFunc(ctx, f.Close)
	f.mu.Unlock()
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.layout, err = newLayout(f.options.Deployment); err != nil {
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
	if err := f.readLinkAddresses(ctx); err != nil {
		return err
	}
	for _, slot := range f.layout.slots {
		if err := f.startInstance(slot, fleet.InstanceID(slot.slot)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) makeDir() error {
	if f.options.Dir != "" {
		f.dir = f.options.Dir
		return eris.Wrap(os.MkdirAll(f.dir, 0o700), "create the directory")
	}
	var err error
	f.dir, err = os.MkdirTemp("", "galenaridge-")
	return eris.Wrap(err, "create a temporary directory")
}

// startStandIns starts the platform, the links and the servers concurrently.
func (f *Fleet) startStandIns(ctx context.Context) error {
	tasks := pool.New().WithContext(ctx).WithFirstError()
	tasks.Go(func(ctx context.Context) error {
		return f.startStandIn(ctx, "platform", f.layout.platformControl, "platform",
			"--listen", string(f.layout.platformAddress), "--control", string(f.layout.platformControl))
	})
	tasks.Go(func(ctx context.Context) error {
		file, err := f.writeJSON("links.json", f.layout.linkOptions())
		if err != nil {
			return err
		}
		return f.startStandIn(ctx, "links", f.layout.linkControl, "link",
			"--file", file, "--control", string(f.layout.linkControl))
	})
	for name, group := range f.layout.serversByProcess() {
		tasks.Go(func(ctx context.Context) error { return f.startServers(ctx, name, group) })
	}
	return tasks.Wait()
}

// startServers starts one process for a group of servers. A server with a
// process of its own writes a journal of its keys, since it may be killed.
func (f *Fleet) startServers(ctx context.Context, name string, options []server.Options) error {
	options = slices.Clone(options)
	for i, o := range options {
		if slices.Contains(f.options.Deployment.SeparateServers, o.ID) {
			options[i].Journal = f.journalFile(o.ID)
		}
	}
	file, err := f.writeJSON(name+".json", options)
	if err != nil {
		return err
	}
	lastAddress := options[len(options)-1].Control
	return f.startStandIn(ctx, name, lastAddress, "server", "--file", file)
}

// startStandIn starts a stand-in and waits until it listens at the address. For
// the platform and the servers this is the last address that they open. The link
// program opens its links later; readLinkAddresses waits for them.
func (f *Fleet) startStandIn(ctx context.Context, name string, address fleet.Address, program string, args ...string) error {
	argv := append([]string{filepath.Join(f.options.Bin, program)}, args...)
	p, err := f.starter.start(name, f.logFile(name), argv...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.standIns[name] = p
	f.mu.Unlock()
	return waitListening(ctx, p, address)
}

// publish sends the listing and the configuration to the platform. It sets the
// list lag afterwards, so that the first listing is visible immediately.
func (f *Fleet) publish(ctx context.Context) error {
	if err := f.control.sendJSON(ctx, http.MethodPut, f.layout.platformControl, "/v1/list", f.layout.liveListing()); err != nil {
		return err
	}
	if len(f.options.Config) > 0 {
		if err := f.PublishConfig(ctx, f.options.Config); err != nil {
			return err
		}
	}
	return f.SetPlatformFault(ctx, platform.Fault{})
}

// readLinkAddresses reads the listen address of each link, by its name.
func (f *Fleet) readLinkAddresses(ctx context.Context) error {
	expected := len(f.layout.linkOptions())
	var states []link.State
	f.mu.Lock()
	links := f.standIns["links"]
	f.mu.Unlock()
	// The control listener opens before the links do.
	err := poll(ctx, links, func() bool {
		return f.control.getJSON(ctx, f.layout.linkControl, "/links", &states) == nil && len(states) == expected
	})
	if err != nil {
		return err
	}
	f.linkAddresses = map[string]fleet.Address{}
	for _, s := range states {
		f.linkAddresses[s.Name] = s.Listen
	}
	return nil
}

// startInstance writes the settings file of a slot and starts its process. It
// fails if the fleet is closed.
func (f *Fleet) startInstance(layout slotLayout, id fleet.InstanceID) error {
	settingsFile := filepath.Join(f.dir, string(id)+".yaml")
	if err := writeSettings(settingsFile, f.layout.instanceSettings(layout, id, f.linkAddresses)); err != nil {
		return err
	}
	command := f.options.InstanceCommand
	if len(command) == 0 {
		command = []string{filepath.Join(f.options.Bin, "galenaridge"), "serve"}
	}
	command = append(append([]string(nil), command...), "--settings", settingsFile)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errNotRunning
	}
	started, err := f.starter.start(string(id), f.logFile(string(layout.slot)), command...)
	if err != nil {
		return err
	}
	f.instances[layout.slot] = &instance{id, started}
	return nil
}

// Close kills all processes by their process IDs, releases the reserved ports
// and removes the temporary directory.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.stopContextHook()
	for _, inst := range f.instances {
		inst.kill()
	}
	for _, standIn := range f.standIns {
		standIn.kill()
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

// withLag returns the fault, with the list lag of the deployment if the fault has
// none.
func (f *Fleet) withLag(fault platform.Fault) platform.Fault {
	if fault.ListLag == 0 {
		fault.ListLag = jsontime.Duration(f.options.Deployment.ListLag)
	}
	return fault
}
