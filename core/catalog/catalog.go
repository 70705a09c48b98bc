// Package catalog has the operators' configuration of a deployment whose
// upstreams are discovered: routes, services, workspaces and limits. A
// Snapshot is one version of it and never changes.
package catalog

import (
	"crypto/sha256"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Freshness is what a route promises about the age of what its reads return.
type Freshness uint8

// Kinds of freshness.
const (
	// FreshPrimary reads see every acknowledged commit.
	FreshPrimary Freshness = iota
	// FreshBounded reads see every commit acknowledged longer ago than MaxStaleness.
	FreshBounded
	// FreshSession reads are FreshBounded and see every commit of their session.
	FreshSession
)

// Service names a replicated group of upstreams.
type Service = model.Database

// Route is one database name that callers may ask for.
type Route struct {
	Name      string
	Database  string
	Service   Service
	Freshness Freshness
	// MaxStaleness bounds the age of what reads return.
	MaxStaleness time.Duration
	// StatementTimeout limits a single statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency that a whole operation should keep.
	TargetLatency time.Duration
	// Priority is 0 for the most important routes.
	Priority int
	// Anonymous routes serve callers without a known key.
	Anonymous bool
}

// ServiceConfig are the rules for the upstreams of one service.
type ServiceConfig struct {
	Name Service
	// ConnectionLimit is what one upstream accepts from all VMs together.
	ConnectionLimit int
	// SyncReplicas is how many replicas have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// WarmupRate is how many statements a second a cold upstream may get; 0
	// means no limit.
	WarmupRate float64
	// Warmup is how long an upstream stays cold.
	Warmup time.Duration
}

// Digest stands for an API key; keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Workspace is one customer.
type Workspace struct {
	Name     model.Workspace
	Priority int
	// Rate is in operations a second over all VMs, Burst in operations.
	Rate  float64
	Burst float64
	Keys  []Digest
}

// Limits are those of callers' connections.
type Limits struct {
	// TxIdleTimeout is how long a transaction may rest between statements.
	TxIdleTimeout time.Duration
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version    uint64
	Routes     []Route
	Services   []ServiceConfig
	Workspaces []Workspace
	Limits     Limits

	routes     map[string]*Route
	services   map[Service]*ServiceConfig
	workspaces map[model.Workspace]*Workspace
	keys       map[Digest]*Workspace
}

// Index prepares the look-ups; it is called once, before the snapshot is shared.
func (s *Snapshot) Index() *Snapshot {
	s.routes = make(map[string]*Route, len(s.Routes))
	for i := range s.Routes {
		s.routes[s.Routes[i].Database] = &s.Routes[i]
	}
	s.services = make(map[Service]*ServiceConfig, len(s.Services))
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	s.workspaces = make(map[model.Workspace]*Workspace, len(s.Workspaces))
	s.keys = map[Digest]*Workspace{}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		s.workspaces[w.Name] = w
		for _, k := range w.Keys {
			s.keys[k] = w
		}
	}
	return s
}

// Route returns the route of a database name, or nil.
func (s *Snapshot) Route(database string) *Route { return s.routes[database] }

// Service returns the rules of a service, or nil.
func (s *Snapshot) Service(name Service) *ServiceConfig { return s.services[name] }

// Workspace returns a workspace, or nil.
func (s *Snapshot) Workspace(name model.Workspace) *Workspace { return s.workspaces[name] }

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (s *Snapshot) WorkspaceByKey(key Digest) *Workspace { return s.keys[key] }
