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
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/usage"
	"github.com/chervilhatch/chervilhatch/linenode"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/settings"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

const (
	// reservedDescriptors is the number of file descriptors that are not available
	// for callers' sessions: those of connections to upstreams, peers and the
	// platform, and of files.
	reservedDescriptors = 600
	// memoryLimitPercent is the part of memory_mb that becomes the soft memory limit
	// of the Go runtime. The rest is left for the kernel's socket buffers.
	memoryLimitPercent = 60
	// flushTimeout bounds the export of pending spans at shutdown.
	flushTimeout = 500 * time.Millisecond
	// promoterTimeout bounds a call to the promoter.
	promoterTimeout = 900 * time.Millisecond
)

// Run runs the daemon with the settings file at path until ctx is done.
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
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	log.Warn().Msg("peers are not authenticated: the network has to keep others out")
	options := nodeOptions(s, log, registry)
	if err := openListeners(s, &options); err != nil {
		return err
	}
	n := linenode.New(options)
	n.Start()
	stopReloads := checkSettingsOnHangup(path, log)
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

// checkSettingsOnHangup validates the settings file on each SIGHUP and logs its
// findings. The settings of the running daemon do not change. The returned function
// ends the signal handling.
func checkSettingsOnHangup(path string, log zerolog.Logger) func() {
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

// divisions maps the setting connections.division.
var divisions = map[string]connlimit.Division{
	settings.DivisionFixed: connlimit.Fixed, settings.DivisionAdaptive: connlimit.Adaptive,
}

func nodeOptions(s *settings.Line, log zerolog.Logger, registry metrics.Registry) linenode.Options {
	promoter := platform.NewPromoter(s.Promoter.Address, promoterTimeout, s.VM.ID, registry)
	return linenode.Options{
		VM:                 s.VM.ID,
		Zone:               s.VM.Zone,
		Capacity:           s.VM.Capacity,
		PeerAddress:        s.Peer.Address(),
		Seeds:              s.Peer.Seeds,
		Store:              platform.NewStore(s.Store.Address, s.Store.Timeout.Std(), s.Store.WatchWait.Std(), registry),
		Promoter:           promoter,
		Usage:              usageOptions(s.Usage, promoter),
		Formats:            platform.Formats(),
		TokensChecked:      s.Promoter.ChecksTokens,
		ByDeadline:         s.Admission.Mode == settings.AdmissionDeadline,
		Balance:            linenode.BalanceMode(s.Balance.Mode),
		MaxSessions:        max(s.Callers.MaxDescriptors-reservedDescriptors, 0),
		Grace:              s.Grace.Std(),
		Log:                log,
		Registry:           registry,
		ConnectionDivision: divisions[s.Connections.Division],
		Tracer:             telemetry.Tracer(),
	}
}

// usageOptions returns nil if the settings do not configure reports of usage.
func usageOptions(s *settings.LineUsage, reporter linenode.UsageReporter) *linenode.UsageOptions {
	if s == nil {
		return nil
	}
	return &linenode.UsageOptions{
		Settings:    usage.Settings{Window: s.Window.Std(), Due: s.Due.Std()},
		LeasePeriod: s.Lease.Std(),
		Reporter:    reporter,
		Refused:     platform.ErrUsageFenced,
	}
}

// openListeners opens the listeners that have an address.
func openListeners(s *settings.Line, o *linenode.Options) error {
	listeners := []struct {
		name    string
		address string
		target  *net.Listener
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
		*l.target = opened
	}
	return nil
}
