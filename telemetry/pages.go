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

// readHeaderTimeout limits how long a client may take to send its request header.
const readHeaderTimeout = 5 * time.Second

// AdminServer serves /metrics, /healthz and /readyz over HTTP.
type AdminServer struct {
	registry metrics.Registry
	ready    func() error
	server   *http.Server
}

// NewAdminServer returns a server for the metrics of registry. ready returns the
// reason why the daemon should get no new connections, or nil.
func NewAdminServer(registry metrics.Registry, ready func() error) *AdminServer {
	s := &AdminServer{registry: registry, ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Serve accepts connections on l until Shutdown is called.
func (s *AdminServer) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown stops the server gracefully.
func (s *AdminServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *AdminServer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error means that the client has disconnected.
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

// MetricsText returns a handler that serves the registry as text, one line
// "metric.field value" for each value of a metric.
func MetricsText(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		all := registry.GetAll()
		for _, name := range slices.Sorted(maps.Keys(all)) {
			values := all[name]
			for _, field := range slices.Sorted(maps.Keys(values)) {
				// An error means that the client has disconnected.
				_, _ = fmt.Fprintf(w, "%s.%s %v\n", name, field, values[field])
			}
		}
	})
}
