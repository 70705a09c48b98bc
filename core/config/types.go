// Package config defines the configuration that operators submit: its types,
// parsing, validation, lookups, canonical form and the differences between two
// documents. It performs no I/O. docs/OPERATIONS.md is the reference of the fields.
package config

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Duration is a duration that a document holds as a string, for example "5s".
type Duration = jsondoc.Duration

// Defaults of optional fields.
const (
	DefaultKeyGrace            = 5 * time.Second
	DefaultWeight              = 1.0
	DefaultStatementTimeout    = 30 * time.Second
	DefaultDetect              = 600 * time.Millisecond
	DefaultQueueLength         = 256
	DefaultConfirmationTimeout = time.Second
)

// Document is a configuration. Only Parse builds the index of its items; the
// lookup methods of any other Document find nothing.
type Document struct {
	// Preset names the preset in force.
	Preset     string      `json:"preset"`
	Presets    []Preset    `json:"presets"`
	Timing     Timing      `json:"timing"`
	Zones      []Zone      `json:"zones"`
	Databases  []Database  `json:"databases"`
	Workspaces []Workspace `json:"workspaces"`
	Jobs       []Job       `json:"jobs"`

	index index
}

// SetDefaults sets the fields that a document may omit.
func (d *Document) SetDefaults() { d.Timing.SetDefaults() }

// Preset is a named set of overrides for all workspaces and jobs, for example
// for peak hours.
type Preset struct {
	Name string `json:"name"`
	// RateFactor multiplies the rate and burst of every workspace.
	RateFactor float64 `json:"rate_factor"`
	// Freshness replaces the freshness bound of every job whose own bound is
	// above 0.
	Freshness *Duration `json:"freshness,omitempty"`
	// QueueLength replaces Timing.QueueLength.
	QueueLength  *int `json:"queue_length,omitempty"`
	RefuseWrites bool `json:"refuse_writes"`
}

// SetDefaults sets the fields that a document may omit.
func (p *Preset) SetDefaults() { p.RateFactor = 1 }

// Timing has the timeouts and limits that apply to all VMs.
type Timing struct {
	// Detect is how long a primary must be unresponsive before a new one is
	// proposed.
	Detect Duration `json:"detect"`
	// QueueLength is the maximum number of requests of one workspace that wait
	// for one upstream.
	QueueLength int `json:"queue_length"`
	// ConfirmationTimeout is the maximum age of the last confirmed round. Writes
	// are refused when it is exceeded.
	ConfirmationTimeout Duration `json:"confirmation_timeout"`
}

// SetDefaults sets the fields that a document may omit.
func (t *Timing) SetDefaults() {
	*t = Timing{
		Detect:              Duration(DefaultDetect),
		QueueLength:         DefaultQueueLength,
		ConfirmationTimeout: Duration(DefaultConfirmationTimeout),
	}
}

// Zone is an availability zone.
type Zone struct {
	Name   model.Zone `json:"name"`
	Region string     `json:"region"`
	// Drained zones receive no new work.
	Drained bool `json:"drained"`
}

// Database is a replicated database group.
type Database struct {
	Name      model.Database `json:"name"`
	Upstreams []Upstream     `json:"upstreams"`
	// Slots is the maximum number of statements that each upstream runs
	// concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that all VMs together
	// may have open to each upstream.
	Connections int `json:"connections"`
}

// Upstream is one server of a database group.
type Upstream struct {
	ID   model.UpstreamID `json:"id"`
	Zone model.Zone       `json:"zone"`
	// Address is host:port.
	Address string `json:"address"`
	// Leaving upstreams receive no new work.
	Leaving bool `json:"leaving"`
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name model.Workspace `json:"name"`
	Keys []Key           `json:"keys"`
	// Rate is in requests per second over all VMs, and Burst in requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Weight is the workspace's share of an upstream's slots relative to the
	// weights of other workspaces.
	Weight float64 `json:"weight"`
	// KeyGrace is how long requests with a key are served after the time up to
	// which there is evidence that the configuration is current.
	KeyGrace Duration `json:"key_grace"`
}

// SetDefaults sets the fields that a document may omit.
func (w *Workspace) SetDefaults() {
	w.Weight = DefaultWeight
	w.KeyGrace = Duration(DefaultKeyGrace)
}

// Key is a key with which callers authenticate as a workspace.
type Key struct {
	ID model.KeyID `json:"id"`
	// Verifier is the SCRAM verifier in PostgreSQL's text form, see package
	// scramverifier.
	Verifier string `json:"verifier"`
}

// JobClass selects how a job's statements are classified as reads or writes.
type JobClass string

// Classes of a job.
const (
	// ClassAuto classifies by the first keyword and by BEGIN READ ONLY.
	ClassAuto JobClass = "auto"
	// ClassReadOnly treats every statement as a read.
	ClassReadOnly JobClass = "read_only"
	// ClassWrite treats every statement as a write.
	ClassWrite JobClass = "write"
)

// Job is an entry point for callers: it names a database, who may use it, and how
// its statements run.
type Job struct {
	Name     model.Job      `json:"name"`
	Database model.Database `json:"database"`
	// Workspaces are the workspaces that may use the job. An Open job requires no
	// key and lists no workspaces.
	Workspaces []model.Workspace `json:"workspaces,omitempty"`
	Open       bool              `json:"open"`
	// Freshness is the freshness bound of reads: the maximum age of the data that
	// they return. 0 means that only the primary serves reads.
	Freshness        Duration `json:"freshness"`
	Class            JobClass `json:"class"`
	Idempotent       bool     `json:"idempotent"`
	StatementTimeout Duration `json:"statement_timeout"`
}

// SetDefaults sets the fields that a document may omit.
func (j *Job) SetDefaults() {
	j.Class = ClassAuto
	j.StatementTimeout = Duration(DefaultStatementTimeout)
}

// Allows reports whether callers with a key of w may use the job. It does not take
// Open into account.
func (j *Job) Allows(w model.Workspace) bool {
	for _, name := range j.Workspaces {
		if name == w {
			return true
		}
	}
	return false
}
