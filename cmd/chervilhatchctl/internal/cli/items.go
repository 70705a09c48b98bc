package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/newkey"
	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/render"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/config/edit"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// itemFlags holds the flags and arguments of the preset, zone and key commands.
type itemFlags struct {
	name      string
	workspace string
	id        string
}

func (a *app) presetCommands() {
	f := &itemFlags{}
	group := a.kingpin.Command("preset", "List presets and put one in force.")
	a.addCommand(group, "list", "List the presets.", a.presetList)
	use := a.addCommand(group, "use", "Put a preset in force.", func(ctx context.Context) error {
		return a.editCurrent(ctx, "use preset "+f.name, func(e edit.Editor) ([]byte, error) { return e.UsePreset(f.name) })
	})
	use.Arg("name", "Name of the preset.").Required().StringVar(&f.name)
}

func (a *app) zoneCommands() {
	group := a.kingpin.Command("zone", "Drain and restore availability zones.")
	a.zoneCommand(group, "drain", "Give a zone no new work.", true)
	a.zoneCommand(group, "restore", "Give a drained zone work again.", false)
}

func (a *app) zoneCommand(group commandParent, name, help string, drained bool) {
	f := &itemFlags{}
	cmd := a.addCommand(group, name, help, func(ctx context.Context) error {
		return a.editCurrent(ctx, name+" zone "+f.name, func(e edit.Editor) ([]byte, error) {
			return e.SetDrained(model.Zone(f.name), drained)
		})
	})
	cmd.Arg("zone", "Name of the zone.").Required().StringVar(&f.name)
}

func (a *app) keyCommands() {
	f := &itemFlags{}
	group := a.kingpin.Command("key", "Grant, withdraw and list the keys of workspaces.")
	grant := a.addCommand(group, "grant", "Make a random key and print it once.", func(ctx context.Context) error { return a.keyGrant(ctx, f) })
	grant.Arg("workspace", "Name of the workspace.").Required().StringVar(&f.workspace)
	grant.Flag("id", "Id of the key; random by default.").StringVar(&f.id)

	withdraw := a.addCommand(group, "withdraw", "Withdraw a key.", func(ctx context.Context) error {
		summary := fmt.Sprintf("withdraw key %s of workspace %s", f.id, f.workspace)
		return a.editCurrent(ctx, summary, func(e edit.Editor) ([]byte, error) {
			return e.RemoveKey(model.Workspace(f.workspace), model.KeyID(f.id))
		})
	})
	withdraw.Arg("workspace", "Name of the workspace.").Required().StringVar(&f.workspace)
	withdraw.Arg("id", "Id of the key.").Required().StringVar(&f.id)

	list := a.addCommand(group, "list", "List the ids of the keys.", func(ctx context.Context) error { return a.keyList(ctx, f) })
	list.Arg("workspace", "Only the keys of this workspace.").StringVar(&f.workspace)
}

// keyGrant adds a random key to a workspace. It prints the key even if the outcome
// of the change is unknown or the version is not yet in force: only the verifier is
// stored, so the key cannot be shown later.
func (a *app) keyGrant(ctx context.Context, f *itemFlags) error {
	secret, key, err := newkey.New(model.KeyID(f.id))
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("grant key %s to workspace %s", key.ID, f.workspace)
	return a.withDaemon(func(d daemon) error {
		c, err := a.prepareEdit(ctx, d, summary, func(e edit.Editor) ([]byte, error) {
			return e.AddKey(model.Workspace(f.workspace), key)
		})
		if err != nil {
			return err
		}
		r, err := a.submit(ctx, d, c)
		if r.Outcome == outcomeAccepted || r.Outcome == outcomeUnknown {
			r.KeyID, r.Key = string(key.ID), secret
			a.printKey(r)
		}
		return a.reportChange(r, err)
	})
}

func (a *app) printKey(r changeResult) {
	if !a.out.JSON {
		fmt.Fprintf(a.out.Writer, "key id: %s\nkey:    %s\n", r.KeyID, r.Key)
	}
}

// keyEntry is the JSON form of a key.
type keyEntry struct {
	Workspace model.Workspace `json:"workspace"`
	ID        model.KeyID     `json:"id"`
}

func (a *app) keyList(ctx context.Context, f *itemFlags) error {
	return a.printFromDocument(ctx, func(doc *config.Document) (render.Table, error) {
		if f.workspace != "" && doc.Workspace(model.Workspace(f.workspace)) == nil {
			return render.Table{}, fmt.Errorf("workspace %q: %w", f.workspace, edit.ErrNotFound)
		}
		entries := []keyEntry{}
		table := render.Table{Header: []string{"WORKSPACE", "KEY"}}
		for _, w := range doc.Workspaces {
			if f.workspace != "" && string(w.Name) != f.workspace {
				continue
			}
			for _, key := range w.Keys {
				entries = append(entries, keyEntry{w.Name, key.ID})
				table.Rows = append(table.Rows, []string{string(w.Name), string(key.ID)})
			}
		}
		table.Value = entries
		return table, nil
	})
}

// presetEntry is the JSON form of a preset.
type presetEntry struct {
	config.Preset
	InForce bool `json:"in_force"`
}

func (a *app) presetList(ctx context.Context) error {
	return a.printFromDocument(ctx, func(doc *config.Document) (render.Table, error) {
		entries := []presetEntry{}
		table := render.Table{Header: []string{"PRESET", "IN FORCE", "RATE FACTOR", "FRESHNESS", "QUEUE LENGTH", "REFUSE WRITES"}}
		for _, p := range doc.Presets {
			inForce := p.Name == doc.Preset
			entries = append(entries, presetEntry{p, inForce})
			table.Rows = append(table.Rows, []string{
				p.Name, yesNo(inForce), strconv.FormatFloat(p.RateFactor, 'g', -1, 64),
				valueOrDash(p.Freshness), valueOrDash(p.QueueLength), yesNo(p.RefuseWrites),
			})
		}
		table.Value = entries
		return table, nil
	})
}

func (a *app) jobList(ctx context.Context) error {
	return a.printFromDocument(ctx, func(doc *config.Document) (render.Table, error) {
		table := render.Table{
			Header: []string{"JOB", "DATABASE", "WORKSPACES", "FRESHNESS", "CLASS", "IDEMPOTENT", "STATEMENT TIMEOUT"},
			Value:  doc.Jobs,
		}
		for i := range doc.Jobs {
			j := &doc.Jobs[i]
			table.Rows = append(table.Rows, []string{
				string(j.Name), string(j.Database), workspaceNames(j), doc.Freshness(j).String(),
				string(j.Class), yesNo(j.Idempotent), j.StatementTimeout.String(),
			})
		}
		return table, nil
	})
}

// printFromDocument prints the table that f builds from the version in force.
func (a *app) printFromDocument(ctx context.Context, f func(*config.Document) (render.Table, error)) error {
	return a.withDaemon(func(d daemon) error {
		_, doc, err := currentDocument(ctx, d)
		if err != nil {
			return err
		}
		table, err := f(doc)
		if err != nil {
			return err
		}
		return a.out.Print(table)
	})
}

// workspaceNames returns the workspaces that may run a job.
func workspaceNames(j *config.Job) string {
	if j.Open {
		return "(open)"
	}
	names := make([]string, len(j.Workspaces))
	for i, w := range j.Workspaces {
		names[i] = string(w)
	}
	return strings.Join(names, ",")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// valueOrDash formats the value, or returns "-" for nil.
func valueOrDash[T any](v *T) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(*v)
}
