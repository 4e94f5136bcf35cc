package operators

import (
	"net/http"
	"net/http/pprof"
)

// registerProfiles serves the runtime's profiles, for example to "go tool pprof URL/debug/pprof/profile".
func registerProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
