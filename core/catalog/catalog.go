// Package catalog holds the operator-supplied configuration of a deployment
// with discovered upstreams: routes, services, workspaces and limits. Each
// version is an immutable Snapshot.
package catalog

import (
	"crypto/sha256"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Freshness is the consistency guarantee that a route gives for its reads.
type Freshness uint8

// Freshness levels.
const (
	// FreshPrimary reads see every acknowledged commit.
	FreshPrimary Freshness = iota
	// FreshBounded reads see every commit acknowledged longer ago than MaxStaleness.
	FreshBounded
	// FreshSession reads see what FreshBounded reads see and every commit of
	// their own session.
	FreshSession
)

// Service is the name of a replica set of upstreams.
type Service = model.Database

// TopPriority is the priority of the most important routes.
const TopPriority = 0

// Route is the configuration of one database name that callers connect to.
type Route struct {
	Name      string
	Database  string
	Service   Service
	Freshness Freshness
	// MaxStaleness is the upper bound on the staleness of reads.
	MaxStaleness time.Duration
	// StatementTimeout bounds the run time of a single statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	// Priority is TopPriority for the most important routes; higher values are less
	// important.
	Priority int
	// Anonymous routes also accept callers without a known API key.
	Anonymous bool
}

// ServiceConfig is the configuration shared by the upstreams of one service.
type ServiceConfig struct {
	Name Service
	// ConnectionLimit is the number of connections that one upstream accepts
	// from all VMs together.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that must have received a commit
	// before it is acknowledged.
	SyncReplicas int
	// WarmupRate limits the statements per second sent to an upstream during its
	// warm-up; 0 means no limit.
	WarmupRate float64
	// Warmup is the duration of the warm-up after an upstream's start.
	Warmup time.Duration
}

// Digest is the SHA-256 digest of an API key. A Snapshot holds no plaintext keys.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Workspace is the configuration of one tenant.
type Workspace struct {
	Name     model.Workspace
	Priority int
	// Rate limits operations per second across all VMs; Burst is the size of
	// the token bucket, in operations.
	Rate  float64
	Burst float64
	Keys  []Digest
}

// Limits are the limits on callers' connections.
type Limits struct {
	// TxIdleTimeout is how long a transaction may stay idle between statements.
	TxIdleTimeout time.Duration
}

// Snapshot is one immutable version of the configuration.
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
	// urgent has the services with a route of TopPriority.
	urgent map[Service]bool
}

// Index builds the lookup maps. It must be called once, before the snapshot is shared.
func (s *Snapshot) Index() *Snapshot {
	s.routes = make(map[string]*Route, len(s.Routes))
	s.urgent = map[Service]bool{}
	for i := range s.Routes {
		r := &s.Routes[i]
		s.routes[r.Database] = r
		s.urgent[r.Service] = s.urgent[r.Service] || r.Priority == TopPriority
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

// Route returns the route of a database name, or nil if there is none.
func (s *Snapshot) Route(database string) *Route { return s.routes[database] }

// Urgent reports whether a service has a route of TopPriority.
func (s *Snapshot) Urgent(name Service) bool { return s.urgent[name] }

// Service returns the configuration of a service, or nil if there is none.
func (s *Snapshot) Service(name Service) *ServiceConfig { return s.services[name] }

// Workspace returns a workspace by name, or nil if there is none.
func (s *Snapshot) Workspace(name model.Workspace) *Workspace { return s.workspaces[name] }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil if there is none.
func (s *Snapshot) WorkspaceByKey(key Digest) *Workspace { return s.keys[key] }
