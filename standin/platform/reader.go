package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// HeaderRevision carries the revision of the value in an answer.
const HeaderRevision = "Platform-Revision"

const (
	// defaultWait and maxWait bound how long a watch is held.
	defaultWait = 20 * time.Second
	maxWait     = 60 * time.Second
)

var errBadQuery = eris.New("bad query")

// watch is a call that is held until the revision is higher than after.
type watch struct {
	after fleet.Revision
	wait  time.Duration
}

// readerRoutes returns the handler for readers.
func (p *Platform) readerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.read(Config, "application/yaml"))
	mux.HandleFunc("GET /v1/list", p.read(List, "application/json"))
	return mux
}

func (p *Platform) read(v ValueKind, contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		asked, held, err := parseWatch(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.meter.begin(p.clock.Now(), v, held)
		if held {
			defer func() { p.meter.end(p.clock.Now()) }()
		}
		seen := p.await(r.Context(), v, asked, held)
		switch {
		case seen.mode == Down:
			panic(http.ErrAbortHandler)
		case !seen.found:
			w.WriteHeader(http.StatusNotFound)
		case held && seen.entry.revision <= asked.after:
			w.Header().Set(HeaderRevision, formatRevision(seen.entry.revision))
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set(HeaderRevision, formatRevision(seen.entry.revision))
			w.Header().Set("Content-Type", contentType)
			_, _ = w.Write(seen.entry.bytes)
		}
	}
}

// await returns what the reader sees at the end of the call: at once for a
// read, and for a watch when the revision is high enough, the wait is over,
// the client left or the platform is down.
func (p *Platform) await(ctx context.Context, v ValueKind, asked watch, held bool) sight {
	limit := p.clock.NewTimer(asked.wait)
	defer limit.Stop()
	for {
		seen := p.store.see(p.clock.Now(), v)
		if !held || seen.mode == Down || seen.found && seen.entry.revision > asked.after {
			return seen
		}
		lagged := p.lagTimer(seen.next)
		select {
		case <-seen.changed:
		case <-lagged.Chan():
		case <-limit.Chan():
			return seen
		case <-ctx.Done():
			return seen
		}
		lagged.Stop()
	}
}

func parseWatch(r *http.Request) (watch, bool, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return watch{}, false, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return watch{}, false, errBadQuery
	}
	asked := watch{after: fleet.Revision(after), wait: defaultWait}
	if query.Has("wait") {
		asked.wait, err = time.ParseDuration(query.Get("wait"))
		if err != nil || asked.wait < 0 || asked.wait > maxWait {
			return watch{}, false, errBadQuery
		}
	}
	return asked, true, nil
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }
