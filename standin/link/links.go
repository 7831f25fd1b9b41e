package link

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
)

var (
	errNoMatch   = eris.New("no link has a matching name")
	errNameTaken = eris.New("a link has this name already")
)

// Links is a set of running links with a control listener.
type Links struct {
	clock   clockwork.Clock
	control net.Listener
	server  *http.Server
	serving conc.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// Start opens the control listener and then the links, and serves until Close.
func Start(control fleet.Address, list []Options, clock clockwork.Clock) (*Links, error) {
	l := &Links{clock: clock, links: map[string]*link{}}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(control))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", control)
	}
	l.control = socket
	l.server = &http.Server{Handler: l.routes(), ErrorLog: log.New(io.Discard, "", 0)}
	l.serving.Go(func() {
		if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	for _, options := range list {
		if err := l.Add(options); err != nil {
			l.Close()
			return nil, err
		}
	}
	return l, nil
}

// Control returns the address of the control listener.
func (l *Links) Control() fleet.Address { return fleet.Address(l.control.Addr().String()) }

// Add opens another link. It fails if a link with this name exists or the listen
// address is in use.
func (l *Links) Add(options Options) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.links[options.Name]; ok {
		return eris.Wrap(errNameTaken, options.Name)
	}
	opened, err := openLink(options, l.clock)
	if err != nil {
		return err
	}
	l.links[options.Name] = opened
	return nil
}

// Change applies a change to all links whose names match the pattern and returns
// their number. The pattern has the syntax of path.Match. It fails if no link
// matches.
func (l *Links) Change(pattern string, c Change) (int, error) {
	matched, err := l.match(pattern)
	if err != nil {
		return 0, err
	}
	for _, link := range matched {
		if err := link.change(c); err != nil {
			return 0, err
		}
	}
	return len(matched), nil
}

// States returns the states of all links, sorted by name.
func (l *Links) States() []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]State, 0, len(l.links))
	for _, link := range l.links {
		states = append(states, link.state())
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return states
}

// Close closes the control listener and then all links.
func (l *Links) Close() {
	_ = l.server.Close()
	l.serving.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.close()
	}
}

func (l *Links) match(pattern string) ([]*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matched []*link
	for name, link := range l.links {
		ok, err := path.Match(pattern, name)
		if err != nil {
			return nil, eris.Wrap(err, pattern)
		}
		if ok {
			matched = append(matched, link)
		}
	}
	if len(matched) == 0 {
		return nil, eris.Wrap(errNoMatch, pattern)
	}
	return matched, nil
}
