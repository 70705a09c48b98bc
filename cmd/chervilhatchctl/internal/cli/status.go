package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/render"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

func (a *app) statusCommands() {
	a.addCommand(a.kingpin, "status", "Show the VMs and databases as one daemon sees them.", a.status)
	group := a.kingpin.Command("job", "List the jobs.")
	a.addCommand(group, "list", "List the jobs with the freshness bound in force.", a.jobList)
}

func (a *app) status(ctx context.Context) error {
	return a.withDaemon(func(d daemon) error {
		s, err := d.Status(ctx)
		if err != nil {
			return err
		}
		if a.out.JSON {
			return a.statusJSON(s)
		}
		return a.statusTables(s)
	})
}

// statusJSON prints the response as JSON with the field names of the .proto file.
func (a *app) statusJSON(s *operatorv1.StatusResponse) error {
	options := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}
	data, err := options.Marshal(s)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out.Writer, "%s\n", data)
	return err
}

func (a *app) statusTables(s *operatorv1.StatusResponse) error {
	fmt.Fprintf(a.out.Writer, "daemon %s in zone %s, configuration version %d, preset %s, store reachable: %s\n\n",
		s.GetVm(), s.GetZone(), s.GetConfigVersion(), s.GetPreset(), yesNo(s.GetStoreReachable()))
	if err := a.out.Print(vmTable(s)); err != nil {
		return err
	}
	fmt.Fprintln(a.out.Writer)
	return a.out.Print(databaseTable(s))
}

func vmTable(s *operatorv1.StatusResponse) render.Table {
	table := render.Table{Header: []string{"VM", "ZONE", "LIVE", "VERSION", "LAST HEARD"}}
	for _, vm := range s.GetVms() {
		heard := time.Duration(vm.GetLastHeardMs()) * time.Millisecond
		table.Rows = append(table.Rows, []string{
			vm.GetId(), vm.GetZone(), yesNo(vm.GetLive()),
			strconv.FormatUint(vm.GetConfigVersion(), 10), heard.String() + " ago",
		})
	}
	return table
}

func databaseTable(s *operatorv1.StatusResponse) render.Table {
	table := render.Table{Header: []string{"DATABASE", "TERM", "POSITION", "UPSTREAM", "ZONE", "ROLE", "APPLIED", "REACHABLE"}}
	for _, db := range s.GetDatabases() {
		for _, u := range db.GetUpstreams() {
			table.Rows = append(table.Rows, []string{
				db.GetDatabase(), db.GetTerm(), strconv.FormatUint(db.GetPosition(), 10),
				u.GetId(), u.GetZone(), u.GetRole(),
				strconv.FormatUint(u.GetApplied(), 10), yesNo(u.GetReachable()),
			})
		}
	}
	return table
}
