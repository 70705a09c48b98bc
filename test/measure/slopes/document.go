package slopes

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Shape of the generated documents.
const (
	workspacesPerDatabase = 3
	groupSize             = 3
	verifier              = "SCRAM-SHA-256$4096:MJ0p9vrKT+RFHKgoeFjOMQ==$A+jF5sDnqn5Qf70m4STlfhOeNEjEBMEhx/aMrYhR7Rk=:Qynfj49DwzkSO1YKV/vMd+QF16h+HQIhnJUAaBt2CeM="
)

// Document returns a configuration document with the given number of databases,
// each with three workspaces and one job.
func Document(databases, zones int) *config.Document {
	d := &config.Document{Preset: "ordinary", Presets: []config.Preset{{Name: "ordinary", RateFactor: 1}}}
	d.SetDefaults()
	for i := range zones {
		d.Zones = append(d.Zones, config.Zone{Name: zoneName(i), Region: "region"})
	}
	for i := range databases {
		addDatabase(d, i, zones)
	}
	return d
}

func zoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("zone-%02d", i)) }

func addDatabase(d *config.Document, i, zones int) {
	name := fmt.Sprintf("database-%05d", i)
	db := config.Database{Name: model.Database(name), Slots: 5, Connections: 50}
	for n := range groupSize {
		id := fmt.Sprintf("%s-%d", name, n)
		db.Upstreams = append(db.Upstreams, config.Upstream{
			ID: model.UpstreamID(id), Zone: zoneName((i + n) % zones), Address: id + ".example:5432",
		})
	}
	d.Databases = append(d.Databases, db)
	job := config.Job{Name: model.Job(name + "-job"), Database: db.Name}
	job.SetDefaults()
	for n := range workspacesPerDatabase {
		w := config.Workspace{Name: model.Workspace(fmt.Sprintf("workspace-%05d-%d", i, n)), Rate: 100, Burst: 50}
		w.SetDefaults()
		w.Keys = []config.Key{{ID: "first", Verifier: verifier}}
		d.Workspaces = append(d.Workspaces, w)
		job.Workspaces = append(job.Workspaces, w.Name)
	}
	d.Jobs = append(d.Jobs, job)
}

// parsedDocument returns a generated document as JSON and in its parsed form.
func parsedDocument(databases, zones int) ([]byte, *config.Document, error) {
	text, err := json.Marshal(Document(databases, zones))
	if err != nil {
		return nil, nil, err
	}
	document, list := config.Parse("generated", text)
	return text, document, list.Err()
}

// zonesOfDocument is the number of zones in the documents of Configuration.
const zonesOfDocument = 4

// Configuration measures the cost of a configuration change on one VM as a
// function of the number of databases.
func Configuration(sizes []int) (Slope, error) {
	s := Slope{
		Name: "Configuration by size of the document", Size: "databases (3 workspaces and 1 job each)",
		Columns: []string{"document, KB", "parsing and checking, ms", "putting in force, ms", "memory of the parsed document, KB", "memory of the state, KB"},
		Note: "Processor time of one change on one VM, and live heap after it. The cost of n changes a second is n times " +
			"the sum of both times, since each version is a whole document.",
	}
	for _, size := range sizes {
		row, err := configurationRow(size)
		if err != nil {
			return s, fmt.Errorf("%d databases: %w", size, err)
		}
		s.Rows = append(s.Rows, row)
	}
	return s, nil
}

func configurationRow(size int) (Row, error) {
	before := liveHeap()
	text, document, err := parsedDocument(size, zonesOfDocument)
	if err != nil {
		return Row{}, err
	}
	documentMemory := liveHeap() - before - float64(len(text))
	parse := cost(func() { config.Parse("generated", text) })
	before = liveHeap()
	state := core.New(core.Config{Self: "vm-0000", Zone: zoneName(0), Incarnation: 1})
	var effects core.Effects
	version := uint64(0)
	inForce := cost(func() {
		version++
		effects.Reset()
		state.Apply(model.Time(version), &core.Event{Confsync: &confsync.Event{
			Kind: confsync.StoreRead, Version: version, Document: text, Config: document, At: model.Time(version),
		}}, &effects)
	})
	effects = core.Effects{}
	stateMemory := liveHeap() - before
	if state.Confsync.Version() != version {
		return Row{}, fmt.Errorf("version %d is in force instead of %d", state.Confsync.Version(), version)
	}
	const kilobyte = 1000
	return Row{Size: float64(size), Costs: []float64{
		float64(len(text)) / kilobyte, milliseconds(parse), milliseconds(inForce), documentMemory / kilobyte, stateMemory / kilobyte,
	}}, nil
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
