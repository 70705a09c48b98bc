// Package cli implements the commands of chervilhatchctl: flags, dispatch and exit
// codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/client"
	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/render"
	"github.com/chervilhatch/chervilhatch/findings"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

const help = `Client for operators of chervilhatch.

Exit codes: 0 done; 1 usage or other error; 2 the document has findings;
3 conflict with another change; 4 daemon or store unavailable, or outcome
unknown; 5 accepted, but not yet in force on every live VM.

Completion: eval "$(chervilhatchctl --completion-script-bash)"`

// defaultWait is the default time to wait until a change is in force on every live VM.
const defaultWait = 30 * time.Second

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// daemon is the subset of client.Client that the commands use.
type daemon interface {
	Config(ctx context.Context, version uint64) (*operatorv1.GetConfigResponse, error)
	History(ctx context.Context, limit int) (*operatorv1.HistoryResponse, error)
	Status(ctx context.Context) (*operatorv1.StatusResponse, error)
	Apply(ctx context.Context, r *operatorv1.ApplyConfigRequest) (*operatorv1.ApplyConfigResponse, error)
	WaitInForce(ctx context.Context, version uint64, timeout time.Duration, progress client.Progress) *operatorv1.WaitInForceResponse
	Close() error
}

// command is the function of the selected command.
type command func(ctx context.Context) error

// app holds the global flags and the selected command.
type app struct {
	kingpin *kingpin.Application
	stderr  io.Writer
	out     render.Output
	// connect creates the client of the daemons.
	connect func(client.Options) (daemon, error)

	options client.Options
	output  string
	author  string
	wait    time.Duration

	selected command
	// terminated is set when kingpin has handled the command line itself, as it
	// does for --help and --version.
	terminated bool
}

// Run runs the command given by args and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return newApp(stdout, stderr, dial).run(ctx, args)
}

func dial(o client.Options) (daemon, error) { return client.New(o) }

func newApp(stdout, stderr io.Writer, connect func(client.Options) (daemon, error)) *app {
	a := &app{
		kingpin: kingpin.New("chervilhatchctl", help),
		stderr:  stderr,
		out:     render.Output{Writer: stdout},
		connect: connect,
	}
	// kingpin must not exit the process: Run returns the exit code.
	a.kingpin.Terminate(func(int) { a.terminated = true })
	a.kingpin.UsageWriter(stdout)
	a.kingpin.ErrorWriter(stderr)
	a.kingpin.Version(version())
	a.globalFlags()
	a.configCommands()
	a.presetCommands()
	a.keyCommands()
	a.zoneCommands()
	a.statusCommands()
	a.explainCommand()
	return a
}

func (a *app) globalFlags() {
	a.kingpin.Flag("daemon", "Address of a daemon's operator listener; may be repeated.").
		Envar("CHERVILHATCH_DAEMON").StringsVar(&a.options.Addresses)
	a.kingpin.Flag("cert", "Client certificate (PEM).").Envar("CHERVILHATCH_CERT").StringVar(&a.options.Cert)
	a.kingpin.Flag("key", "Key of the client certificate (PEM).").Envar("CHERVILHATCH_KEY").StringVar(&a.options.Key)
	a.kingpin.Flag("ca", "CA of the daemons' certificates (PEM).").Envar("CHERVILHATCH_CA").StringVar(&a.options.CA)
	a.kingpin.Flag("output", "Form of the output: table or json.").
		Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	a.kingpin.Flag("author", "Name that is recorded with a change.").
		Default(os.Getenv("USER")).Envar("CHERVILHATCH_AUTHOR").StringVar(&a.author)
	a.kingpin.Flag("wait", "How long to wait until a change is in force on every live VM; 0s does not wait.").
		Default(defaultWait.String()).DurationVar(&a.wait)
}

// commandParent is the application or a command that has subcommands.
type commandParent interface {
	Command(name, help string) *kingpin.CmdClause
}

// addCommand registers a command that runs f.
func (a *app) addCommand(parent commandParent, name, help string, f command) *kingpin.CmdClause {
	return parent.Command(name, help).Action(func(*kingpin.ParseContext) error {
		a.selected = f
		return nil
	})
}

func (a *app) run(ctx context.Context, args []string) int {
	_, err := a.kingpin.Parse(args)
	if a.terminated {
		return exitDone
	}
	if err == nil {
		a.out.JSON = a.output == outputJSON
		err = a.selected(ctx)
	}
	a.printError(err)
	return exitCode(err)
}

// printError prints an error. Findings are printed one per line without a prefix,
// so that editors can jump to their positions.
func (a *app) printError(err error) {
	var list findings.List
	switch {
	case err == nil:
	case errors.As(err, &list):
		fmt.Fprintln(a.stderr, list)
	default:
		fmt.Fprintf(a.stderr, "chervilhatchctl: %v\n", err)
	}
}

// withDaemon runs f with a client of the daemons and closes it afterwards.
func (a *app) withDaemon(f func(d daemon) error) error {
	d, err := a.connect(a.options)
	if err != nil {
		return err
	}
	defer d.Close()
	return f(d)
}

// version returns the module version and the VCS revision of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
