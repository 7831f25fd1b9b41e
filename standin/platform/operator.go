package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"galenaridge/core/fleet"
)

// maxValueBytes is the maximum size of a request body and so of a configuration.
const maxValueBytes = 1 << 20

// operatorHandler returns the handler of the listener for operators.
func (p *Platform) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/config", p.putConfig)
	mux.HandleFunc("PUT /v1/list", putHandler(p, p.values.putListing))
	mux.HandleFunc("PUT /v1/list/instance", putHandler(p, p.values.putInstance))
	mux.HandleFunc("PUT /v1/list/server", putHandler(p, p.values.putServer))
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
	writeRevision(w, p.values.putConfig(p.clock.Now(), document), nil)
}

// putHandler returns a handler that decodes a listing or one of its entries from
// JSON and stores it.
func putHandler[T any](p *Platform, putValue func(time.Time, T) (fleet.Revision, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if !decodeJSON(w, r, &value) {
			return
		}
		revision, err := putValue(p.clock.Now(), value)
		writeRevision(w, revision, err)
	}
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	revision, err := p.values.removeInstance(p.clock.Now(), fleet.InstanceID(r.PathValue("id")))
	writeRevision(w, revision, err)
}

func (p *Platform) deleteServer(w http.ResponseWriter, r *http.Request) {
	revision, err := p.values.removeServer(p.clock.Now(), fleet.ServerID(r.PathValue("id")))
	writeRevision(w, revision, err)
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decodeJSON(w, r, &fault) {
		return
	}
	p.values.setFault(p.clock.Now(), fault)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Stats())
}

// decodeJSON decodes the request body and rejects unknown fields. If that fails, it
// writes the error response and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeRevision responds to a change with its new revision, or with its error.
func writeRevision(w http.ResponseWriter, revision fleet.Revision, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderRevision, formatRevision(revision))
	w.WriteHeader(http.StatusNoContent)
}
