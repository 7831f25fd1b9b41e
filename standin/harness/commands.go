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

// WaitReady waits until every instance that runs answers GET /ready with 200.
// It fails if one exits or the context ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithFirstError()
	for slot, in := range f.running() {
		at, _ := f.layout.place(slot)
		p.Go(func(ctx context.Context) error {
			return poll(ctx, in.process, func() bool {
				_, err := f.control.do(ctx, http.MethodGet, at.operator, "/ready", nil)
				return err == nil
			})
		})
	}
	return p.Wait()
}

// Kill ends an instance at once. The platform's list drops it.
func (f *Fleet) Kill(ctx context.Context, slot Slot) error {
	in, _, err := f.find(slot)
	if err != nil {
		return err
	}
	in.kill()
	return f.markDown(ctx, slot, in)
}

// Pause suspends an instance.
func (f *Fleet) Pause(slot Slot) error { return f.signal(slot, syscall.SIGSTOP) }

// Resume continues a paused instance.
func (f *Fleet) Resume(slot Slot) error { return f.signal(slot, syscall.SIGCONT) }

// Stop lists an instance as leaving, asks it to stop, and waits for its exit.
// It fails if the exit code is not 0 or the context ends first.
func (f *Fleet) Stop(ctx context.Context, slot Slot) error {
	in, at, err := f.find(slot)
	if err != nil {
		return err
	}
	if err := f.listInstance(ctx, listed(at, in.id, fleet.Leaving)); err != nil {
		return err
	}
	if err := in.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-in.ended:
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%s did not stop", slot)
	}
	if err := f.markDown(ctx, slot, in); err != nil {
		return err
	}
	return eris.Wrapf(in.failure, "%s stopped", slot)
}

// Restart starts the process of a slot again under the same id. A process
// that still runs is killed first.
func (f *Fleet) Restart(ctx context.Context, slot Slot) error {
	in, _, err := f.find(slot)
	if err != nil {
		return err
	}
	return f.renew(ctx, slot, in, in.id)
}

// Replace starts a process with a new id in a slot and returns the id. A
// process that still runs is killed first.
func (f *Fleet) Replace(ctx context.Context, slot Slot) (fleet.InstanceID, error) {
	in, _, err := f.find(slot)
	if err != nil {
		return "", err
	}
	id := nextID(slot, in.id)
	return id, f.renew(ctx, slot, in, id)
}

// Cut stops all packets from one end to the other; connections stay open and
// what was sent arrives after Heal.
func (f *Fleet) Cut(ctx context.Context, from, to LinkEnd) error {
	return f.setCut(ctx, from, to, true)
}

// CutBoth stops all packets between the ends.
func (f *Fleet) CutBoth(ctx context.Context, a, b LinkEnd) error {
	return errors.Join(f.setCut(ctx, a, b, true), f.setCut(ctx, b, a, true))
}

// Heal ends a cut from one end to the other.
func (f *Fleet) Heal(ctx context.Context, from, to LinkEnd) error {
	return f.setCut(ctx, from, to, false)
}

// HealAll ends all cuts.
func (f *Fleet) HealAll(ctx context.Context) error {
	cut := false
	return f.changeLinks(ctx, "*", link.Change{CutUp: &cut, CutDown: &cut})
}

// ChangeLinks changes all links from one end to the other, on which the first
// end connects.
func (f *Fleet) ChangeLinks(ctx context.Context, from, to LinkEnd, change link.Change) error {
	if err := f.layout.checkEnds(from, to); err != nil {
		return err
	}
	return f.changeLinks(ctx, from.source+">"+to.target, change)
}

// PublishConfig publishes a configuration file at the platform.
func (f *Fleet) PublishConfig(ctx context.Context, document []byte) error {
	_, err := f.control.do(ctx, http.MethodPut, f.layout.operators, "/v1/config", document)
	return err
}

// SetPlatformFault replaces the fault of the platform. A fault without a lag
// of the list keeps that of the deployment.
func (f *Fleet) SetPlatformFault(ctx context.Context, fault platform.Fault) error {
	return f.control.send(ctx, http.MethodPost, f.layout.operators, "/fault", f.withLag(fault))
}

// SetServerFault replaces the fault of a server.
func (f *Fleet) SetServerFault(ctx context.Context, id fleet.ServerID, fault server.Fault) error {
	s, ok := f.layout.server(id)
	if !ok {
		return eris.Wrap(errUnknown, string(id))
	}
	if err := f.control.send(ctx, http.MethodPost, s.options.Control, "/fault", fault); err != nil {
		return err
	}
	return f.refuse(ctx, kindServer, string(id), fault.Kind == server.FaultRefuse)
}

// DrainServer makes a server say that it is leaving and lists it as leaving.
func (f *Fleet) DrainServer(ctx context.Context, id fleet.ServerID) error {
	if err := f.AnnounceDrain(ctx, id); err != nil {
		return err
	}
	return f.SetServerPresence(ctx, id, fleet.Leaving)
}

// AnnounceDrain makes a server say that it is leaving, while the platform
// lists it as before.
func (f *Fleet) AnnounceDrain(ctx context.Context, id fleet.ServerID) error {
	s, ok := f.layout.server(id)
	if !ok {
		return eris.Wrap(errUnknown, string(id))
	}
	_, err := f.control.do(ctx, http.MethodPost, s.options.Control, "/drain", nil)
	return err
}

// SetServerPresence changes how the platform lists a server.
func (f *Fleet) SetServerPresence(ctx context.Context, id fleet.ServerID, presence fleet.Presence) error {
	s, ok := f.layout.server(id)
	if !ok {
		return eris.Wrap(errUnknown, string(id))
	}
	return f.listServer(ctx, listedServer(s, presence))
}

// KillServer ends the process of a server that runs alone. The platform's
// list keeps the server, as it does for one that crashed.
func (f *Fleet) KillServer(ctx context.Context, id fleet.ServerID) error {
	p, err := f.lone(id)
	if err != nil {
		return err
	}
	p.kill()
	return f.refuse(ctx, kindServer, string(id), true)
}

// PauseServer suspends the process of a server that runs alone.
func (f *Fleet) PauseServer(id fleet.ServerID) error { return f.signalServer(id, syscall.SIGSTOP) }

// ResumeServer continues a paused server.
func (f *Fleet) ResumeServer(id fleet.ServerID) error { return f.signalServer(id, syscall.SIGCONT) }

func (f *Fleet) signalServer(id fleet.ServerID, sig os.Signal) error {
	p, err := f.lone(id)
	if err != nil {
		return err
	}
	return p.signal(sig)
}

// lone returns the process of a server that runs alone.
func (f *Fleet) lone(id fleet.ServerID) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.parts["server-"+string(id)]
	if !ok {
		return nil, eris.Wrapf(errUnknown, "%s does not run alone", id)
	}
	return p, nil
}

// RestartServer starts a server that was killed again, with its counts at
// zero but for its keys.
func (f *Fleet) RestartServer(ctx context.Context, id fleet.ServerID) error {
	s, ok := f.layout.server(id)
	if !ok {
		return eris.Wrap(errUnknown, string(id))
	}
	name := f.layout.processOf(s)
	if err := f.startServers(ctx, name, f.layout.groups()[name]); err != nil {
		return err
	}
	return f.refuse(ctx, kindServer, string(id), false)
}

// setCut cuts or heals one way. Only one of the two patterns has links when
// one end never connects.
func (f *Fleet) setCut(ctx context.Context, from, to LinkEnd, cut bool) error {
	if err := f.layout.checkEnds(from, to); err != nil {
		return err
	}
	failures := 0
	changes := cutChanges(from, to, cut)
	for _, c := range changes {
		err := f.changeLinks(ctx, c.pattern, c.change)
		if notFound(err) {
			failures++
		} else if err != nil {
			return err
		}
	}
	if failures == len(changes) {
		return eris.Wrap(errUnknown, "no link between the ends of the cut")
	}
	return nil
}

func (f *Fleet) changeLinks(ctx context.Context, pattern string, change link.Change) error {
	return f.control.send(ctx, http.MethodPost, f.layout.control, "/link/"+url.PathEscape(pattern), change)
}

// refuse makes the links to a part refuse connections, as its own address
// does while it is down.
func (f *Fleet) refuse(ctx context.Context, kind, name string, refuse bool) error {
	err := f.changeLinks(ctx, "*:"+kind+":"+name, link.Change{Refuse: &refuse})
	if notFound(err) {
		return nil
	}
	return err
}

// refuseInstance does the same for both addresses of an instance.
func (f *Fleet) refuseInstance(ctx context.Context, slot Slot, refuse bool) error {
	return errors.Join(
		f.refuse(ctx, kindPeer, string(slot), refuse),
		f.refuse(ctx, kindCaller, string(slot), refuse),
	)
}

// markDown makes links and platform reflect that an instance has exited.
func (f *Fleet) markDown(ctx context.Context, slot Slot, in *instance) error {
	if err := f.refuseInstance(ctx, slot, true); err != nil {
		return err
	}
	_, err := f.control.do(ctx, http.MethodDelete, f.layout.operators, "/v1/list/instance/"+string(in.id), nil)
	return err
}

// renew starts a process in a slot and lists it.
func (f *Fleet) renew(ctx context.Context, slot Slot, old *instance, id fleet.InstanceID) error {
	at, _ := f.layout.place(slot)
	if old.running() {
		old.kill()
		if err := f.markDown(ctx, slot, old); err != nil {
			return err
		}
	}
	if err := f.startInstance(at, id); err != nil {
		return err
	}
	if err := f.refuseInstance(ctx, slot, false); err != nil {
		return err
	}
	return f.listInstance(ctx, listed(at, id, fleet.Live))
}

func (f *Fleet) listInstance(ctx context.Context, in fleet.ListedInstance) error {
	return f.control.send(ctx, http.MethodPut, f.layout.operators, "/v1/list/instance", in)
}

func (f *Fleet) listServer(ctx context.Context, s fleet.ListedServer) error {
	return f.control.send(ctx, http.MethodPut, f.layout.operators, "/v1/list/server", s)
}

func (f *Fleet) signal(slot Slot, sig os.Signal) error {
	in, _, err := f.find(slot)
	if err != nil {
		return err
	}
	return in.signal(sig)
}

// nextID returns the id of the next process in a slot: i1, i1-2, i1-3.
func nextID(slot Slot, id fleet.InstanceID) fleet.InstanceID {
	number := 1
	_, _ = fmt.Sscanf(string(id), string(slot)+"-%d", &number)
	return fleet.InstanceID(fmt.Sprintf("%s-%d", slot, number+1))
}
