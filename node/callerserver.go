package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/frontend"
)

// Errors of Node.Ready.
var (
	errNoConfiguration = errors.New("no configuration is in force yet")
	errOwnership       = errors.New("the zone's record does not let this VM act yet")
	errNotServing      = errors.New("callers are not served: the zone is drained or the daemon stops")
)

// drainTimeout bounds how long sessions may take to finish their transactions
// after their zone is drained.
const drainTimeout = 30 * time.Second

// callerServer runs the frontend while this VM's zone is in service. When the
// zone is drained it closes its listener, so that the platform's load balancer
// sends callers to other VMs.
type callerServer struct {
	options frontend.Options
	log     zerolog.Logger

	mu      sync.Mutex
	address string
	server  *frontend.Server
	stopped bool
}

// serveInitial starts accepting callers on the listener that the daemon was
// started with. Later calls have no effect.
func (c *callerServer) serveInitial(l net.Listener) {
	c.mu.Lock()
	first := c.address == ""
	c.mu.Unlock()
	if first {
		c.serve(l)
	}
}

func (c *callerServer) serve(l net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil || c.stopped {
		return
	}
	c.address = l.Addr().String()
	c.server = frontend.New(c.options)
	server := c.server
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, frontend.ErrServerClosed) {
			c.log.Error().Err(err).Msg("caller listener failed")
		}
	}()
}

// resume reopens the listener after a drain.
func (c *callerServer) resume() {
	c.mu.Lock()
	address := c.address
	idle := c.server == nil && !c.stopped && address != ""
	c.mu.Unlock()
	if !idle {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		c.log.Error().Err(err).Msg("cannot listen for callers again")
		return
	}
	c.log.Info().Msg("zone in service: callers are accepted")
	c.serve(l)
}

// detach removes and returns the current server, or nil if there is none. The
// caller shuts it down.
func (c *callerServer) detach() *frontend.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	server := c.server
	c.server = nil
	return server
}

// drain stops accepting sessions at once and lets running transactions finish in
// the background.
func (c *callerServer) drain(ctx context.Context) {
	server := c.detach()
	if server == nil {
		return
	}
	c.log.Info().Msg("zone drained: callers are not accepted")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			c.log.Warn().Err(err).Msg("sessions were interrupted by the drain")
		}
	}()
}

// stop shuts the server down permanently. It waits until running transactions
// have finished or ctx ends.
func (c *callerServer) stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	server := c.detach()
	if server == nil {
		return nil
	}
	return server.Shutdown(ctx)
}

// closeKey closes the sessions that use a withdrawn key.
func (c *callerServer) closeKey(w model.Workspace, k model.KeyID) {
	c.mu.Lock()
	server := c.server
	c.mu.Unlock()
	if server != nil {
		server.CloseKey(w, k)
	}
}

func (c *callerServer) ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil {
		return errNotServing
	}
	return nil
}
