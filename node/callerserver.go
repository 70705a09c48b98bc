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

// drainTimeout bounds how long the sessions of a drained zone may finish their
// transactions.
const drainTimeout = 30 * time.Second

// callerServer runs the frontend while this VM's zone is in service. A drained
// VM closes its listener, so that the platform's balancer sends callers
// elsewhere.
type callerServer struct {
	options frontend.Options
	log     zerolog.Logger

	mu      sync.Mutex
	address string
	server  *frontend.Server
	stopped bool
}

// serveInitial starts to accept callers on the daemon's first listener.
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

// resume opens the listener again after a drain.
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

// detach ends the acceptance of callers and returns the server whose sessions
// are left, or nil.
func (c *callerServer) detach() *frontend.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	server := c.server
	c.server = nil
	return server
}

// drain refuses new sessions at once, and lets transactions finish in the
// background.
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

// stop ends the service for good and waits until transactions have finished.
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

// closeKey closes the sessions of a withdrawn key.
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
