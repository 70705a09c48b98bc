package telemetry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// readHeaderTimeout bounds how long a client of the pages may take to send its
// request header.
const readHeaderTimeout = 5 * time.Second

// AdminServer serves /metrics, /healthz and /readyz over HTTP.
type AdminServer struct {
	registry metrics.Registry
	ready    func() error
	server   *http.Server
}

// NewAdminServer returns pages over the registry. ready returns why the daemon
// should get no new connections, or nil.
func NewAdminServer(registry metrics.Registry, ready func() error) *AdminServer {
	s := &AdminServer{registry: registry, ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Serve answers on l until Shutdown.
func (s *AdminServer) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown stops the pages.
func (s *AdminServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *AdminServer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The client may have gone; there is nobody to tell.
	_ = encoder.Encode(s.registry.GetAll())
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *AdminServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// MetricsText serves a registry as text: one line "name value" for each figure.
func MetricsText(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		all := registry.GetAll()
		for _, name := range slices.Sorted(maps.Keys(all)) {
			values := all[name]
			for _, field := range slices.Sorted(maps.Keys(values)) {
				// The client may have gone; there is nobody to tell.
				_, _ = fmt.Fprintf(w, "%s.%s %v\n", name, field, values[field])
			}
		}
	})
}
