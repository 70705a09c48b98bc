package platform

import (
	"context"
	"sync"
	"time"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
)

// inventory has the lists of VMs and groups. A change to a list is served only
// after the lag.
type inventory struct {
	vms    history[*platformv1.VM]
	groups history[*platformv1.Group]
}

func (i *inventory) setLag(d time.Duration) {
	i.vms.setLag(d)
	i.groups.setLag(d)
}

// version is a list and the time at which it was set.
type version[T any] struct {
	since time.Time
	items []T
}

// history has the versions of a list that may still be served, oldest first.
type history[T any] struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []version[T]
}

func (h *history[T]) setLag(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = d
}

func (h *history[T]) set(items []T, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, version[T]{since: now, items: append([]T(nil), items...)})
}

// get returns the newest version that was set at least the lag ago. The first
// version is returned at once, so that a test need not wait after setting up
// the lists.
func (h *history[T]) get(now time.Time) []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 {
		return nil
	}
	for len(h.versions) > 1 && now.Sub(h.versions[1].since) >= h.lag {
		h.versions = h.versions[1:]
	}
	return h.versions[0].items
}

// ListVMs implements the Platform service.
func (s *Server) ListVMs(context.Context, *platformv1.ListVMsRequest) (*platformv1.ListVMsResponse, error) {
	return &platformv1.ListVMsResponse{Vms: s.inventory.vms.get(time.Now())}, nil
}

// ListGroups implements the Platform service.
func (s *Server) ListGroups(context.Context, *platformv1.ListGroupsRequest) (*platformv1.ListGroupsResponse, error) {
	return &platformv1.ListGroupsResponse{Groups: s.inventory.groups.get(time.Now())}, nil
}
