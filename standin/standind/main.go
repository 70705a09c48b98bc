// Command standind runs a stand-in as a process of its own: the platform, one
// upstream, or a database group of three upstreams.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chervilhatch/chervilhatch/core/model"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/standin/platform"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
)

func main() {
	app := kingpin.New("standind", "Runs stand-ins of the platform and of database groups.")
	registerPlatform(app)
	registerUpstream(app)
	registerGroup(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standind:", err)
		os.Exit(1)
	}
}

// waitForSignal blocks until the process receives SIGINT or SIGTERM.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}

// registerPlatform adds the command platform.
func registerPlatform(app *kingpin.Application) {
	command := app.Command("platform", "Run the platform's key-value service.")
	listen := command.Flag("listen", "Address to listen on.").Default("127.0.0.1:7400").String()
	lag := command.Flag("list-lag", "Lag of the lists of VMs and groups.").Default("0s").Duration()
	vms := command.Flag("vm", "A VM as id,zone,address; repeatable.").Strings()
	upstreams := command.Flag("upstream", "An upstream as database,id,zone,address; repeatable.").Strings()
	command.Action(func(*kingpin.ParseContext) error {
		return runPlatform(*listen, *lag, *vms, *upstreams)
	})
}

func runPlatform(listen string, lag time.Duration, vms, upstreams []string) error {
	vmList, err := parseVMs(vms)
	if err != nil {
		return err
	}
	groupList, err := parseGroups(upstreams)
	if err != nil {
		return err
	}
	server := platform.New()
	server.SetListLag(lag)
	server.SetVMs(vmList)
	server.SetGroups(groupList)
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("platform on", listener.Addr())
	go func() {
		waitForSignal()
		server.Stop()
	}()
	return server.Serve(listener)
}

// upstreamFlags adds the flags that the commands upstream and group share.
func upstreamFlags(command *kingpin.CmdClause) *upstream.Options {
	o := &upstream.Options{}
	command.Flag("user", "User of the proxy's own credentials.").Default("proxy").StringVar(&o.User)
	command.Flag("password", "Password of the proxy; empty accepts every client.").
		Envar("STANDIND_PASSWORD").StringVar(&o.Password)
	command.Flag("max-connections", "Limit of connections; 0 means none.").IntVar(&o.MaxConnections)
	command.Flag("slots", "Statements that run at once; 0 means no limit.").IntVar(&o.Slots)
	command.Flag("connect-delay", "Delay of each new connection.").DurationVar(&o.ConnectDelay)
	command.Flag("statement-duration", "Duration added to each statement.").DurationVar(&o.StatementDuration)
	return o
}

// registerUpstream adds the command upstream.
func registerUpstream(app *kingpin.Application) {
	command := app.Command("upstream", "Run one upstream of a database group.")
	options := upstreamFlags(command)
	id := command.Flag("id", "Name of the upstream.").Default("upstream").String()
	command.Flag("listen", "Address to listen on.").Default("127.0.0.1:7432").StringVar(&options.Listen)
	command.Flag("primary", "Start as the primary of the first term.").BoolVar(&options.Primary)
	command.Flag("follow", "Address of the primary of the first term.").StringVar(&options.Follow)
	command.Action(func(*kingpin.ParseContext) error {
		options.ID = model.UpstreamID(*id)
		return runUpstream(*options)
	})
}

func runUpstream(options upstream.Options) error {
	server := upstream.New(options)
	if err := server.Start(); err != nil {
		return err
	}
	fmt.Println(options.ID, "on", server.Address())
	waitForSignal()
	server.Stop()
	return nil
}

// registerGroup adds the command group.
func registerGroup(app *kingpin.Application) {
	command := app.Command("group", "Run a database group of three upstreams on free ports of loopback.")
	options := upstreamFlags(command)
	name := command.Flag("name", "Prefix of the upstreams' names.").Default("db").String()
	lag := command.Flag("apply-delay", "Delay of the replicas' applied position.").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		return runGroup(*name, *options, *lag)
	})
}

func runGroup(name string, options upstream.Options, lag time.Duration) error {
	group, err := upstream.NewGroup(name, options)
	if err != nil {
		return err
	}
	for _, server := range group.Upstreams {
		server.SetApplyDelay(lag)
		fmt.Println(server.ID(), "on", server.Address())
	}
	waitForSignal()
	group.Stop()
	return nil
}

// parseVMs parses texts of the form id,zone,address.
func parseVMs(texts []string) ([]*platformv1.VM, error) {
	var vms []*platformv1.VM
	for _, text := range texts {
		fields, err := splitFields(text, "id", "zone", "address")
		if err != nil {
			return nil, err
		}
		vms = append(vms, &platformv1.VM{
			Id:          fields[0],
			Zone:        fields[1],
			PeerAddress: fields[2],
			State:       platformv1.VMState_VM_STATE_LIVE,
		})
	}
	return vms, nil
}

// parseGroups parses texts of the form database,id,zone,address. The groups are
// in the order in which their databases first appear.
func parseGroups(texts []string) ([]*platformv1.Group, error) {
	var groups []*platformv1.Group
	byName := make(map[string]*platformv1.Group)
	for _, text := range texts {
		fields, err := splitFields(text, "database", "id", "zone", "address")
		if err != nil {
			return nil, err
		}
		group := byName[fields[0]]
		if group == nil {
			group = &platformv1.Group{Database: fields[0]}
			byName[fields[0]] = group
			groups = append(groups, group)
		}
		group.Upstreams = append(group.Upstreams, &platformv1.GroupUpstream{
			Id:      fields[1],
			Zone:    fields[2],
			Address: fields[3],
			State:   platformv1.VMState_VM_STATE_LIVE,
		})
	}
	return groups, nil
}
