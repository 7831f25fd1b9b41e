package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/core/fleet"
	"galenaridge/standin/link"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

// WaitReady waits until GET /ready succeeds on every running instance. It fails
// if an instance exits or the context ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithFirstError()
	for slot, inst := range f.runningInstances() {
		layout, _ := f.layout.findSlot(slot)
		p.Go(func(ctx context.Context) error {
			return poll(ctx, inst.process, func() bool {
				_, err := f.control.request(ctx, http.MethodGet, layout.operatorAddress, "/ready", nil)
				return err == nil
			})
		})
	}
	return p.Wait()
}

// Kill sends SIGKILL to an instance and removes it from the platform's listing.
func (f *Fleet) Kill(ctx context.Context, slot Slot) error {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return err
	}
	inst.kill()
	return f.markDown(ctx, slot, inst)
}

// Pause suspends an instance with SIGSTOP and waits until it has stopped; the platform still
// lists it.
func (f *Fleet) Pause(slot Slot) error {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return err
	}
	return inst.pause()
}

// Resume continues a paused instance with SIGCONT.
func (f *Fleet) Resume(slot Slot) error { return f.signal(slot, syscall.SIGCONT) }

// Stop lists an instance as leaving, sends it SIGTERM and waits for its exit.
// It fails if the exit code is not 0 or the context ends first.
func (f *Fleet) Stop(ctx context.Context, slot Slot) error {
	inst, layout, err := f.findInstance(slot)
	if err != nil {
		return err
	}
	if err := f.putInstance(ctx, listedInstance(layout, inst.id, fleet.Leaving)); err != nil {
		return err
	}
	if err := inst.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-inst.exited:
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%s did not stop", slot)
	}
	if err := f.markDown(ctx, slot, inst); err != nil {
		return err
	}
	return eris.Wrapf(inst.exitError, "%s stopped", slot)
}

// Restart starts a new process in a slot under the same instance id. A process
// that still runs is killed first.
func (f *Fleet) Restart(ctx context.Context, slot Slot) error {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return err
	}
	return f.startInSlot(ctx, slot, inst, inst.id)
}

// Replace starts a process in a slot under a new instance id and returns that
// id. A process that still runs is killed first.
func (f *Fleet) Replace(ctx context.Context, slot Slot) (fleet.InstanceID, error) {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return "", err
	}
	id := nextID(slot, inst.id)
	return id, f.startInSlot(ctx, slot, inst, id)
}

// Cut holds all data from one end to the other. Connections stay open, and the
// held data arrives after Heal.
func (f *Fleet) Cut(ctx context.Context, from, to LinkEnd) error {
	return f.setCut(ctx, from, to, true)
}

// CutBoth holds all data between the ends, in both directions.
func (f *Fleet) CutBoth(ctx context.Context, a, b LinkEnd) error {
	return errors.Join(f.setCut(ctx, a, b, true), f.setCut(ctx, b, a, true))
}

// Heal ends a cut in the direction from one end to the other.
func (f *Fleet) Heal(ctx context.Context, from, to LinkEnd) error {
	return f.setCut(ctx, from, to, false)
}

// HealAll ends the cuts of all links.
func (f *Fleet) HealAll(ctx context.Context) error {
	cut := false
	return f.changeLinks(ctx, "*", link.Change{CutUp: &cut, CutDown: &cut})
}

// ChangeLinks changes all links whose source belongs to the first end and whose
// target belongs to the second.
func (f *Fleet) ChangeLinks(ctx context.Context, from, to LinkEnd, change link.Change) error {
	if err := f.layout.checkEnds(from, to); err != nil {
		return err
	}
	return f.changeLinks(ctx, from.sourcePattern+">"+to.targetPattern, change)
}

// PublishConfig publishes a configuration file on the platform.
func (f *Fleet) PublishConfig(ctx context.Context, document []byte) error {
	_, err := f.control.request(ctx, http.MethodPut, f.layout.platformControl, "/v1/config", document)
	return err
}

// SetPlatformFault replaces the injected fault of the platform. If the fault
// has no list lag, the list lag of the deployment applies.
func (f *Fleet) SetPlatformFault(ctx context.Context, fault platform.Fault) error {
	return f.control.sendJSON(ctx, http.MethodPost, f.layout.platformControl, "/fault", f.withLag(fault))
}

// SetServerFault replaces the injected fault of a server. The links to the server
// refuse connections too while its fault is server.FaultRefuse.
func (f *Fleet) SetServerFault(ctx context.Context, id fleet.ServerID, fault server.Fault) error {
	s, ok := f.layout.findServer(id)
	if !ok {
		return eris.Wrap(errUnknownPart, string(id))
	}
	if err := f.control.sendJSON(ctx, http.MethodPost, s.options.Control, "/fault", fault); err != nil {
		return err
	}
	return f.setRefuse(ctx, kindServer, string(id), fault.Kind == server.FaultRefuse)
}

// DrainServer makes a server announce that it is draining, and lists it as
// leaving on the platform.
func (f *Fleet) DrainServer(ctx context.Context, id fleet.ServerID) error {
	if err := f.AnnounceDrain(ctx, id); err != nil {
		return err
	}
	return f.SetServerPresence(ctx, id, fleet.Leaving)
}

// AnnounceDrain makes a server announce that it is draining. Its entry in the
// platform's listing does not change.
func (f *Fleet) AnnounceDrain(ctx context.Context, id fleet.ServerID) error {
	s, ok := f.layout.findServer(id)
	if !ok {
		return eris.Wrap(errUnknownPart, string(id))
	}
	_, err := f.control.request(ctx, http.MethodPost, s.options.Control, "/drain", nil)
	return err
}

// SetServerPresence changes the presence of a server in the platform's listing.
func (f *Fleet) SetServerPresence(ctx context.Context, id fleet.ServerID, presence fleet.Presence) error {
	s, ok := f.layout.findServer(id)
	if !ok {
		return eris.Wrap(errUnknownPart, string(id))
	}
	return f.putServer(ctx, listedServer(s, presence))
}

// KillServer kills the process of a server listed in SeparateServers. The
// platform still lists the server, as it does after a crash.
func (f *Fleet) KillServer(ctx context.Context, id fleet.ServerID) error {
	p, err := f.separateServer(id)
	if err != nil {
		return err
	}
	p.kill()
	return f.setRefuse(ctx, kindServer, string(id), true)
}

// PauseServer suspends a server listed in SeparateServers with SIGSTOP and waits until it has
// stopped.
func (f *Fleet) PauseServer(id fleet.ServerID) error {
	p, err := f.separateServer(id)
	if err != nil {
		return err
	}
	return p.pause()
}

// ResumeServer continues a paused server with SIGCONT.
func (f *Fleet) ResumeServer(id fleet.ServerID) error { return f.signalServer(id, syscall.SIGCONT) }

func (f *Fleet) signalServer(id fleet.ServerID, sig os.Signal) error {
	p, err := f.separateServer(id)
	if err != nil {
		return err
	}
	return p.signal(sig)
}

// separateServer returns the process of a server listed in SeparateServers.
func (f *Fleet) separateServer(id fleet.ServerID) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.standIns["server-"+string(id)]
	if !ok {
		return nil, eris.Wrapf(errUnknownPart, "server %s has no process of its own", id)
	}
	return p, nil
}

// RestartServer starts a new process for a killed server. All its counters
// start from zero except the runs of each key, which its journal keeps.
func (f *Fleet) RestartServer(ctx context.Context, id fleet.ServerID) error {
	s, ok := f.layout.findServer(id)
	if !ok {
		return eris.Wrap(errUnknownPart, string(id))
	}
	name := f.layout.processName(s)
	if err := f.startServers(ctx, name, f.layout.serversByProcess()[name]); err != nil {
		return err
	}
	return f.setRefuse(ctx, kindServer, string(id), false)
}

// setCut cuts or heals the direction from one end to the other. If one of the
// ends never opens connections, only one of the two patterns matches links. It
// fails if neither does.
func (f *Fleet) setCut(ctx context.Context, from, to LinkEnd, cut bool) error {
	if err := f.layout.checkEnds(from, to); err != nil {
		return err
	}
	unmatched := 0
	changes := cutChanges(from, to, cut)
	for _, c := range changes {
		err := f.changeLinks(ctx, c.pattern, c.change)
		if notFound(err) {
			unmatched++
		} else if err != nil {
			return err
		}
	}
	if unmatched == len(changes) {
		return eris.Wrap(errUnknownPart, "no link between the ends of the cut")
	}
	return nil
}

func (f *Fleet) changeLinks(ctx context.Context, pattern string, change link.Change) error {
	return f.control.sendJSON(ctx, http.MethodPost, f.layout.linkControl, "/link/"+url.PathEscape(pattern), change)
}

// setRefuse sets whether the links to a process refuse connections, as the
// address of a process that is down does.
func (f *Fleet) setRefuse(ctx context.Context, kind, name string, refuse bool) error {
	err := f.changeLinks(ctx, "*:"+kind+":"+name, link.Change{Refuse: &refuse})
	if notFound(err) {
		return nil
	}
	return err
}

// setInstanceRefuse sets whether the links to the peer address and the caller
// address of an instance refuse connections.
func (f *Fleet) setInstanceRefuse(ctx context.Context, slot Slot, refuse bool) error {
	return errors.Join(
		f.setRefuse(ctx, kindPeer, string(slot), refuse),
		f.setRefuse(ctx, kindCaller, string(slot), refuse),
	)
}

// markDown makes the links of an exited instance refuse connections and removes
// the instance from the platform's listing.
func (f *Fleet) markDown(ctx context.Context, slot Slot, inst *instance) error {
	if err := f.setInstanceRefuse(ctx, slot, true); err != nil {
		return err
	}
	_, err := f.control.request(ctx, http.MethodDelete, f.layout.platformControl, "/v1/list/instance/"+string(inst.id), nil)
	return err
}

// startInSlot kills the old process of a slot if it still runs, starts a process
// with the id and lists it as live.
func (f *Fleet) startInSlot(ctx context.Context, slot Slot, old *instance, id fleet.InstanceID) error {
	layout, _ := f.layout.findSlot(slot)
	if old.running() {
		old.kill()
		if err := f.markDown(ctx, slot, old); err != nil {
			return err
		}
	}
	if err := f.startInstance(layout, id); err != nil {
		return err
	}
	if err := f.setInstanceRefuse(ctx, slot, false); err != nil {
		return err
	}
	return f.putInstance(ctx, listedInstance(layout, id, fleet.Live))
}

func (f *Fleet) putInstance(ctx context.Context, inst fleet.ListedInstance) error {
	return f.control.sendJSON(ctx, http.MethodPut, f.layout.platformControl, "/v1/list/instance", inst)
}

func (f *Fleet) putServer(ctx context.Context, s fleet.ListedServer) error {
	return f.control.sendJSON(ctx, http.MethodPut, f.layout.platformControl, "/v1/list/server", s)
}

func (f *Fleet) signal(slot Slot, sig os.Signal) error {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return err
	}
	return inst.signal(sig)
}

// nextID returns the instance id for the next process in a slot. Successive ids
// are i1, i1-2, i1-3.
func nextID(slot Slot, id fleet.InstanceID) fleet.InstanceID {
	generation := 1
	_, _ = fmt.Sscanf(string(id), string(slot)+"-%d", &generation)
	return fleet.InstanceID(fmt.Sprintf("%s-%d", slot, generation+1))
}
