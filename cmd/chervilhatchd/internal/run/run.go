// Package run starts the daemon from a settings file and stops it gracefully.
package run

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/tracing"
	"github.com/chervilhatch/chervilhatch/node"
	"github.com/chervilhatch/chervilhatch/settings"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 30 * time.Second

// Run runs the daemon with the settings file at path until ctx is done.
func Run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(os.Stdout, s.Log.Level, telemetry.LogFormat(s.Log.Format))
	if err != nil {
		return err
	}
	stopTraces, err := tracing.Start(ctx, &s.Trace, s.VM.ID)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	options, err := nodeOptions(s, log, registry)
	if err != nil {
		return err
	}
	n, err := node.New(options)
	if err != nil {
		return err
	}
	adminServer, err := ServeAdmin(s.Admin.Listen, registry, n, log)
	if err != nil {
		return err
	}
	n.Start()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.Stop(stopCtx)
	_ = adminServer.Shutdown(stopCtx)
	return stopTraces(stopCtx)
}

// ServeAdmin serves the health and metrics pages of a node at the address. The
// caller has to shut down the returned server.
func ServeAdmin(address string, registry metrics.Registry, n *node.Node, log zerolog.Logger) (*telemetry.AdminServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin listener: %w", err)
	}
	adminServer := telemetry.NewAdminServer(registry, n.Ready)
	go func() {
		if err := adminServer.Serve(l); err != nil {
			log.Error().Err(err).Msg("admin listener failed")
		}
	}()
	log.Info().Str("address", l.Addr().String()).Msg("serving health and metrics pages")
	return adminServer, nil
}

// nodeOptions loads the certificates, opens the listeners and returns the options of
// the node.
func nodeOptions(s *settings.Settings, log zerolog.Logger, registry metrics.Registry) (node.Options, error) {
	o := node.Options{
		VM:               s.VM.ID,
		Zone:             s.VM.Zone,
		Seeds:            s.Peer.Seeds,
		RequireCallerTLS: s.Caller.RequireTLS,
		UpstreamUser:     s.Upstream.User,
		UpstreamPassword: s.Upstream.Password.Reveal(),
		Log:              log,
		Metrics:          registry,
	}
	if err := loadTLS(s, &o); err != nil {
		return o, err
	}
	store, err := openStore(s, registry)
	if err != nil {
		return o, err
	}
	o.Store = store
	o.Inventory = store
	return o, openListeners(s, &o)
}

// openStore returns a client of the platform's store.
func openStore(s *settings.Settings, registry metrics.Registry) (*grpcstore.Client, error) {
	o := grpcstore.Options{Addresses: s.Platform.Addresses, Timeout: s.Platform.Timeout.Std(), Metrics: registry}
	if s.Platform.TLS != nil {
		creds, err := clientTLS(*s.Platform.TLS)
		if err != nil {
			return nil, fmt.Errorf("platform TLS: %w", err)
		}
		o.Credentials = creds
	}
	return grpcstore.New(o)
}

// openListeners opens the listeners that have an address.
func openListeners(s *settings.Settings, o *node.Options) error {
	listeners := []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"caller", s.Caller.Listen, &o.Callers},
		{"peer", s.Peer.Listen, &o.Peers},
		{"operator", s.Operator.Listen, &o.Operator},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		*l.target = opened
	}
	return nil
}
