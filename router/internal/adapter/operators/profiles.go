package operators

import (
	"net/http"
	"net/http/pprof"
)

// registerProfiles adds the handlers of the Go runtime's profiles, which are read with, for example,
// "go tool pprof URL/debug/pprof/profile".
func registerProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
