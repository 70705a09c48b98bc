package platform

import (
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
)

// Server is the stand-in for the platform. The zero value is not usable; call
// New.
type Server struct {
	platformv1.UnimplementedPlatformServer

	grpc      *grpc.Server
	faults    *faults
	inventory inventory

	mu    sync.Mutex
	store *store
}

// New returns a server with an empty store at revision 1.
func New() *Server {
	s := &Server{
		faults: newFaults(),
		store:  newStore(),
	}
	s.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.faults.unary),
		grpc.StreamInterceptor(s.faults.stream),
	)
	platformv1.RegisterPlatformServer(s.grpc, s)
	return s
}

// Serve accepts connections on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes the listener and all connections, and stops the timers of the
// leases.
func (s *Server) Stop() {
	s.grpc.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.stopLeases()
}

// SetVMs replaces the list of VMs. ListVMs returns it after the list lag.
func (s *Server) SetVMs(vms []*platformv1.VM) {
	s.inventory.vms.set(vms, time.Now())
}

// SetGroups replaces the list of groups. ListGroups returns it after the list lag.
func (s *Server) SetGroups(groups []*platformv1.Group) {
	s.inventory.groups.set(groups, time.Now())
}

// SetListLag sets how long ListVMs and ListGroups return the previous list
// after a change.
func (s *Server) SetListLag(d time.Duration) { s.inventory.setLag(d) }
