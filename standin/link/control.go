package link

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxChangeBytes is the maximum size of a control request's body.
const maxChangeBytes = 64 << 10

// routes returns the handler of the control listener.
func (l *Links) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", l.getLinks)
	mux.HandleFunc("POST /links", l.postLinks)
	mux.HandleFunc("POST /link/{pattern}", l.postLink)
	return mux
}

func (l *Links) getLinks(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.States())
}

func (l *Links) postLinks(w http.ResponseWriter, r *http.Request) {
	var options Options
	if !decodeJSON(w, r, &options) {
		return
	}
	writeResult(w, l.Add(options))
}

func (l *Links) postLink(w http.ResponseWriter, r *http.Request) {
	var change Change
	if !decodeJSON(w, r, &change) {
		return
	}
	_, err := l.Change(r.PathValue("pattern"), change)
	writeResult(w, err)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errNoMatch):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errNameTaken):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
