package upstream

import (
	"fmt"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// GroupSize is the number of upstreams in a group.
const GroupSize = 3

// Group is a database group of three upstreams.
type Group struct {
	Upstreams []*Server
}

// NewGroup starts three upstreams on free ports of loopback, the first of them
// as the primary of FirstTerm. It ignores the options ID, Listen, Primary and
// Follow; the ids are prefix-1 to prefix-3.
func NewGroup(prefix string, options Options) (*Group, error) {
	g := &Group{}
	options.Listen = ""
	options.Primary = true
	options.Follow = ""
	for i := range GroupSize {
		options.ID = model.UpstreamID(fmt.Sprintf("%s-%d", prefix, i+1))
		s := New(options)
		if err := s.Start(); err != nil {
			g.Stop()
			return nil, err
		}
		g.Upstreams = append(g.Upstreams, s)
		options.Primary = false
		options.Follow = g.Upstreams[0].Address()
	}
	return g, nil
}

// Stop stops all upstreams.
func (g *Group) Stop() {
	for _, s := range g.Upstreams {
		s.Stop()
	}
}

// Primary returns the primary of the highest term, or nil if no upstream is a
// primary.
func (g *Group) Primary() *Server {
	var primary *Server
	var term model.Term
	for _, s := range g.Upstreams {
		status := s.Status()
		if status.Role == dbgroup.Primary && term.Less(status.Promised) {
			primary = s
			term = status.Promised
		}
	}
	return primary
}

// Resolve returns the address of an upstream of the group. ok is false if the
// id is unknown.
func (g *Group) Resolve(id model.UpstreamID) (address string, ok bool) {
	for _, s := range g.Upstreams {
		if s.ID() == id {
			return s.Address(), true
		}
	}
	return "", false
}
