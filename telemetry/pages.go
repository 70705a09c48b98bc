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

// headerTimeout bounds how long a client of the pages may take to send its
// request header.
const headerTimeout = 5 * time.Second

// Pages serves /metrics, /healthz and /readyz over HTTP.
type Pages struct {
	registry metrics.Registry
	ready    func() error
	server   *http.Server
}

// NewPages returns pages over the registry. ready returns why the daemon
// should get no new connections, or nil.
func NewPages(registry metrics.Registry, ready func() error) *Pages {
	p := &Pages{registry: registry, ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", p.serveReady)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return p
}

// Serve answers on l until Shutdown.
func (p *Pages) Serve(l net.Listener) error {
	err := p.server.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Shutdown stops the pages.
func (p *Pages) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

func (p *Pages) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The client may have gone; there is nobody to tell.
	_ = encoder.Encode(p.registry.GetAll())
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (p *Pages) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.ready(); err != nil {
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
			figures := all[name]
			for _, figure := range slices.Sorted(maps.Keys(figures)) {
				// The client may have gone; there is nobody to tell.
				_, _ = fmt.Fprintf(w, "%s.%s %v\n", name, figure, figures[figure])
			}
		}
	})
}
