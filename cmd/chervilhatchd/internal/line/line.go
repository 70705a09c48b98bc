// Package line starts the daemon of a VM whose callers and upstreams speak the
// line protocol, and stops it gracefully.
package line

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/tracing"
	"github.com/chervilhatch/chervilhatch/linenode"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/settings"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

const (
	// reservedDescriptors are kept for upstreams, peers, the platform and files.
	reservedDescriptors = 600
	// memoryPart is the percentage of the memory limit at which the garbage
	// collector works harder; the rest is for the kernel's buffers.
	memoryPart = 60
	// flushTimeout bounds the export of the last spans at a stop.
	flushTimeout = 500 * time.Millisecond
	// promoterTimeout bounds a promotion call.
	promoterTimeout = 900 * time.Millisecond
)

// Run runs the daemon until ctx ends.
func Run(ctx context.Context, path string) error {
	s, err := settings.LoadLine(path)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	log, err := newLogger(s, registry)
	if err != nil {
		return err
	}
	stopTraces, err := tracing.Start(ctx, &s.Trace, s.VM.ID)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryPart / 100)
	}
	log.Warn().Msg("peers are not authenticated: the network has to keep others out")
	options := nodeOptions(s, log, registry)
	if err := listen(s, &options); err != nil {
		return err
	}
	n := linenode.New(options)
	n.Start()
	stopReloads := logReloads(path, log)
	defer stopReloads()
	<-ctx.Done()
	n.Stop()
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return stopTraces(flushCtx)
}

func newLogger(s *settings.Line, registry metrics.Registry) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldUnit = time.Millisecond
	w := telemetry.NewNonBlockingWriter(os.Stdout, registry)
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

// logReloads reads the settings file again on SIGHUP and reports its findings.
// No setting of a running daemon changes.
func logReloads(path string, log zerolog.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			_, err := settings.LoadLine(path)
			log.Info().Err(err).Msg("settings file read again; its changes take effect at the next start")
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

func nodeOptions(s *settings.Line, log zerolog.Logger, registry metrics.Registry) linenode.Options {
	return linenode.Options{
		VM:          s.VM.ID,
		Zone:        s.VM.Zone,
		Capacity:    s.VM.Capacity,
		PeerAddress: s.Peer.Address(),
		Seeds:       s.Peer.Seeds,
		Store:       platform.NewStore(s.Store.Address, s.Store.Timeout.Std(), s.Store.WatchWait.Std(), registry),
		Promoter:    platform.NewPromoter(s.Promoter.Address, promoterTimeout, s.VM.ID, registry),
		Formats:     platform.Formats(),
		MaxSessions: max(s.Callers.MaxDescriptors-reservedDescriptors, 0),
		Grace:       s.Grace.Std(),
		Log:         log,
		Registry:    registry,
		Tracer:      telemetry.Tracer(),
	}
}

// listen opens the listeners.
func listen(s *settings.Line, o *linenode.Options) error {
	listeners := []struct {
		name    string
		address string
		to      *net.Listener
	}{
		{"callers", s.Callers.Listen, &o.Callers},
		{"ready", s.Ready.Listen, &o.Ready},
		{"peers", s.Peer.Listen, &o.Peers},
		{"metrics", s.Metrics.Listen, &o.Metrics},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		*l.to = opened
	}
	return nil
}
