package node

import (
	"fmt"
	"sync/atomic"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/frontend"
	"github.com/chervilhatch/chervilhatch/scramverifier"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// weightScale converts the fractional weights of the configuration to the integer
// weights of the fair queues.
const weightScale = 1000

// activeConfig gives access to the configuration in force without taking the
// reducer's mutex.
type activeConfig struct {
	loop     *loop
	snapshot atomic.Pointer[configSnapshot]
}

// configSnapshot is a document together with the parsed keys of its workspaces.
type configSnapshot struct {
	document *config.Document
	keys     map[model.Workspace][]frontend.Key
}

// current returns the document in force, or nil if there is none yet.
func (a *activeConfig) current() *config.Document {
	if t := a.snapshot.Load(); t != nil {
		return t.document
	}
	return nil
}

// keys returns the valid keys of a workspace.
func (a *activeConfig) keys(w model.Workspace) []frontend.Key {
	if t := a.snapshot.Load(); t != nil {
		return t.keys[w]
	}
	return nil
}

// set replaces the document in force.
func (a *activeConfig) set(d *config.Document) {
	t := &configSnapshot{document: d, keys: make(map[model.Workspace][]frontend.Key, len(d.Workspaces))}
	for i := range d.Workspaces {
		t.keys[d.Workspaces[i].Name] = parseKeys(&d.Workspaces[i])
	}
	a.snapshot.Store(t)
}

// parseKeys parses the keys of a workspace. It skips a key with an invalid
// verifier; validation of the configuration rejects those.
func parseKeys(w *config.Workspace) []frontend.Key {
	var keys []frontend.Key
	for _, k := range w.Keys {
		v, err := scramverifier.Parse(k.Verifier)
		if err != nil {
			continue
		}
		keys = append(keys, frontend.Key{ID: k.ID, Verifier: frontend.Verifier{
			Salt: v.Salt, Iterations: v.Iterations, StoredKey: v.StoredKey, ServerKey: v.ServerKey,
		}})
	}
	return keys
}

// check returns nil when the key may be used for the job now.
func (a *activeConfig) check(w model.Workspace, k model.KeyID, j model.Job) error {
	d := a.current()
	if d == nil {
		return sqlstate.Refuse(sqlstate.ConfigUnconfirmed, "no configuration is in force")
	}
	job := d.Job(j)
	if job == nil {
		return sqlstate.Refuse(sqlstate.UnknownJob, fmt.Sprintf("job %q does not exist", j))
	}
	if job.Open {
		return nil
	}
	workspace := d.Workspace(w)
	if workspace == nil || d.Key(w, k) == nil {
		e := sqlstate.Refuse(sqlstate.KeyWithdrawn, "the key was withdrawn")
		e.Fatal = true
		return e
	}
	if !job.Allows(w) {
		return sqlstate.Refuse(sqlstate.WorkspaceForbidden, fmt.Sprintf("workspace %q may not use job %q", w, j))
	}
	return a.confirmed(workspace)
}

// confirmed returns an error when the configuration has not been confirmed as the
// newest within the workspace's key_grace.
func (a *activeConfig) confirmed(w *config.Workspace) error {
	age, ok := a.loop.confirmedAge()
	if ok && age <= w.KeyGrace.Std() {
		return nil
	}
	return sqlstate.Refuse(sqlstate.ConfigUnconfirmed, "this VM cannot confirm that the key is still valid")
}

// weight returns the weight of a workspace in the fair queues.
func (a *activeConfig) weight(w model.Workspace) int64 {
	d := a.current()
	if d == nil || d.Workspace(w) == nil {
		return weightScale
	}
	return max(1, int64(d.Workspace(w).Weight*weightScale))
}

// upstreamAddress returns the host:port of an upstream.
func (a *activeConfig) upstreamAddress(u model.UpstreamID) (string, bool) {
	d := a.current()
	if d == nil {
		return "", false
	}
	upstream, _ := d.Upstream(u)
	if upstream == nil {
		return "", false
	}
	return upstream.Address, true
}
