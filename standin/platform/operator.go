package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"galenaridge/core/fleet"
)

// maxValueBytes is the largest value that the platform holds.
const maxValueBytes = 1 << 20

// operatorRoutes returns the handler for operators.
func (p *Platform) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/config", p.putConfig)
	mux.HandleFunc("PUT /v1/list", put(p, p.store.putListing))
	mux.HandleFunc("PUT /v1/list/instance", put(p, p.store.putInstance))
	mux.HandleFunc("PUT /v1/list/server", put(p, p.store.putServer))
	mux.HandleFunc("DELETE /v1/list/instance/{id}", p.deleteInstance)
	mux.HandleFunc("DELETE /v1/list/server/{id}", p.deleteServer)
	mux.HandleFunc("POST /fault", p.postFault)
	mux.HandleFunc("GET /stats", p.getStats)
	return mux
}

func (p *Platform) putConfig(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	accept(w, p.store.putConfig(p.clock.Now(), document), nil)
}

// put returns a handler that decodes a value of the list and stores it.
func put[T any](p *Platform, command func(time.Time, T) (fleet.Revision, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if !decode(w, r, &value) {
			return
		}
		revision, err := command(p.clock.Now(), value)
		accept(w, revision, err)
	}
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	revision, err := p.store.removeInstance(p.clock.Now(), fleet.InstanceID(r.PathValue("id")))
	accept(w, revision, err)
}

func (p *Platform) deleteServer(w http.ResponseWriter, r *http.Request) {
	revision, err := p.store.removeServer(p.clock.Now(), fleet.ServerID(r.PathValue("id")))
	accept(w, revision, err)
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decode(w, r, &fault) {
		return
	}
	p.store.setFault(p.clock.Now(), fault)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Stats())
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// accept answers a change with the revision it produced.
func accept(w http.ResponseWriter, revision fleet.Revision, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderRevision, formatRevision(revision))
	w.WriteHeader(http.StatusNoContent)
}
