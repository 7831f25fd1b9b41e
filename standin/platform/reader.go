package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// HeaderRevision is the response header with the revision of the value.
const HeaderRevision = "Platform-Revision"

const (
	// defaultWait is the duration of a watch without ?wait, and maxWait the
	// largest duration that ?wait accepts.
	defaultWait = 20 * time.Second
	maxWait     = 60 * time.Second
)

var errInvalidQuery = eris.New("bad query")

// watchOptions are the parameters of a watch: it ends when the revision is higher
// than after, or when wait has elapsed.
type watchOptions struct {
	after fleet.Revision
	wait  time.Duration
}

// readerHandler returns the handler of the listener for readers.
func (p *Platform) readerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.readHandler(Config, "application/yaml"))
	mux.HandleFunc("GET /v1/list", p.readHandler(List, "application/json"))
	return mux
}

// readHandler returns a handler that serves reads and watches of one value.
func (p *Platform) readHandler(kind ValueKind, contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		options, isWatch, err := parseWatch(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.calls.startCall(p.clock.Now(), kind, isWatch)
		if isWatch {
			defer func() { p.calls.endWatch(p.clock.Now()) }()
		}
		view := p.awaitView(r.Context(), kind, options, isWatch)
		switch {
		case view.mode == Down:
			panic(http.ErrAbortHandler)
		case !view.found:
			w.WriteHeader(http.StatusNotFound)
		case isWatch && view.publication.revision <= options.after:
			w.Header().Set(HeaderRevision, formatRevision(view.publication.revision))
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set(HeaderRevision, formatRevision(view.publication.revision))
			w.Header().Set("Content-Type", contentType)
			_, _ = w.Write(view.publication.encoded)
		}
	}
}

// awaitView returns the view with which to respond to a call. For a read it returns
// at once. For a watch it returns when the revision is higher than requested, the
// wait has elapsed, the client has closed the connection or the platform is down.
func (p *Platform) awaitView(ctx context.Context, kind ValueKind, options watchOptions, isWatch bool) readView {
	waitTimer := p.clock.NewTimer(options.wait)
	defer waitTimer.Stop()
	for {
		view := p.values.currentView(p.clock.Now(), kind)
		if !isWatch || view.mode == Down || view.found && view.publication.revision > options.after {
			return view
		}
		lagTimer := p.newTimerAt(view.nextChange)
		select {
		case <-view.changed:
		case <-lagTimer.Chan():
		case <-waitTimer.Chan():
			return view
		case <-ctx.Done():
			return view
		}
		lagTimer.Stop()
	}
}

// parseWatch returns the watch options of a request, and false if it is a read.
func parseWatch(r *http.Request) (watchOptions, bool, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return watchOptions{}, false, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return watchOptions{}, false, errInvalidQuery
	}
	options := watchOptions{after: fleet.Revision(after), wait: defaultWait}
	if query.Has("wait") {
		options.wait, err = time.ParseDuration(query.Get("wait"))
		if err != nil || options.wait < 0 || options.wait > maxWait {
			return watchOptions{}, false, errInvalidQuery
		}
	}
	return options, true, nil
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }
