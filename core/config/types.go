// Package config has the operators' configuration: its types, parsing and
// complete check, lookups, the canonical form and differences between two
// documents. It does no I/O. docs/OPERATIONS.md is the reference of the fields.
package config

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Duration is a duration that the document writes as a string.
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

// Document is one configuration. Parse returns it with lookup tables; a
// Document that was made otherwise has none, and its lookups find nothing.
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

// Preset is a named way to run all jobs, for example during a peak.
type Preset struct {
	Name string `json:"name"`
	// RateFactor scales the rate and burst of every workspace.
	RateFactor float64 `json:"rate_factor"`
	// Freshness replaces the bound of every job whose own bound is above 0.
	Freshness *Duration `json:"freshness,omitempty"`
	// QueueLength replaces Timing.QueueLength.
	QueueLength  *int `json:"queue_length,omitempty"`
	RefuseWrites bool `json:"refuse_writes"`
}

// SetDefaults sets the fields that a document may omit.
func (p *Preset) SetDefaults() { p.RateFactor = 1 }

// Timing has the limits that hold for all VMs.
type Timing struct {
	// Detect is how long a primary must be silent before a new one is proposed.
	Detect Duration `json:"detect"`
	// QueueLength is the most requests of one workspace that wait for one upstream.
	QueueLength int `json:"queue_length"`
	// ConfirmationTimeout is the age of the last confirmed round above which
	// writes are refused.
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
	// Drained zones get no new work.
	Drained bool `json:"drained"`
}

// Database is a replicated database group.
type Database struct {
	Name      model.Database `json:"name"`
	Upstreams []Upstream     `json:"upstreams"`
	// Slots is how many statements each upstream runs at a time.
	Slots int `json:"slots"`
	// Connections is how many connections all VMs together may have open to
	// each upstream.
	Connections int `json:"connections"`
}

// Upstream is one server of a database group.
type Upstream struct {
	ID   model.UpstreamID `json:"id"`
	Zone model.Zone       `json:"zone"`
	// Address is host:port.
	Address string `json:"address"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving"`
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name model.Workspace `json:"name"`
	Keys []Key           `json:"keys"`
	// Rate is in requests a second over all VMs, and Burst in requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Weight is the workspace's share of an upstream's slots relative to others.
	Weight float64 `json:"weight"`
	// KeyGrace is how long keyed requests are served without evidence that the
	// configuration is current.
	KeyGrace Duration `json:"key_grace"`
}

// SetDefaults sets the fields that a document may omit.
func (w *Workspace) SetDefaults() {
	w.Weight = DefaultWeight
	w.KeyGrace = Duration(DefaultKeyGrace)
}

// Key is one key of a workspace.
type Key struct {
	ID model.KeyID `json:"id"`
	// Verifier is in PostgreSQL's text form, see package scramverifier.
	Verifier string `json:"verifier"`
}

// JobClass tells how the class of a job's statements is determined.
type JobClass string

// Classes of a job.
const (
	// ClassAuto takes BEGIN READ ONLY and the first keyword into account.
	ClassAuto JobClass = "auto"
	// ClassReadOnly treats every statement as a read.
	ClassReadOnly JobClass = "read_only"
	// ClassWrite treats every statement as a write.
	ClassWrite JobClass = "write"
)

// Job is what a caller connects to.
type Job struct {
	Name     model.Job      `json:"name"`
	Database model.Database `json:"database"`
	// Workspaces may use the job. An Open job needs no key and lists none.
	Workspaces []model.Workspace `json:"workspaces,omitempty"`
	Open       bool              `json:"open"`
	// Freshness is the greatest age of data that a read may return; 0 means
	// that only the primary serves reads.
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

// Allows reports whether a caller with a key of w may use the job.
func (j *Job) Allows(w model.Workspace) bool {
	for _, name := range j.Workspaces {
		if name == w {
			return true
		}
	}
	return false
}
