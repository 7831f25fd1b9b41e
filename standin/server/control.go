package server

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxControlBodyBytes is the maximum body size of a request to the control
// listener.
const maxControlBodyBytes = 64 << 10

// controlHandler returns the handler of the control listener, which serves
// statistics and accepts faults and the start of draining.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.getStats)
	mux.HandleFunc("GET /keys", s.getKeys)
	mux.HandleFunc("POST /fault", s.postFault)
	mux.HandleFunc("POST /drain", s.postDrain)
	return mux
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
}

func (s *Server) getKeys(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Keys())
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.SetFault(fault)
	switch {
	case errors.Is(err, errInvalidFault):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
