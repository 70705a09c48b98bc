// Command chervilhatchd is the proxy daemon. Every VM runs the same binary.
//
// Exit codes: 0 after a graceful shutdown, 1 after an error, 2 if the settings file
// has findings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/dev"
	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/line"
	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/run"
	"github.com/chervilhatch/chervilhatch/findings"
)

// Exit codes.
const (
	exitError    = 1
	exitFindings = 2
)

// version is set with -ldflags in release builds.
var version = "development"

func main() {
	app := kingpin.New("chervilhatchd", "A database proxy with session consistency.")
	app.Version(version)
	app.HelpFlag.Short('h')

	runCommand := app.Command("run", "Run the daemon of one VM.")
	settingsPath := runCommand.Flag("settings", "Settings file of this VM (JSON with comments).").Required().String()

	lineCommand := app.Command("line", "Run the daemon of one VM whose callers and upstreams speak the line protocol.")
	linePath := lineCommand.Flag("settings", "Settings file of this VM (JSON with comments).").Required().String()

	devCommand := app.Command("dev", "Run one daemon with stand-ins of the platform and of a database group.")
	var devOptions dev.Options
	devCommand.Flag("listen", "Address for callers; port 0 takes a free one.").Default("127.0.0.1:6432").StringVar(&devOptions.Listen)
	devCommand.Flag("admin", "Address of the health and metrics pages.").Default("127.0.0.1:0").StringVar(&devOptions.Admin)
	devCommand.Flag("operator", "Address for chervilhatchctl.").Default("127.0.0.1:0").StringVar(&devOptions.Operator)
	devCommand.Flag("cert-dir", "Directory that gets the certificate for chervilhatchctl; none by default.").StringVar(&devOptions.CertDir)

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch command {
	case runCommand.FullCommand():
		err = run.Run(ctx, *settingsPath)
	case lineCommand.FullCommand():
		err = line.Run(ctx, *linePath)
	case devCommand.FullCommand():
		err = dev.Run(ctx, devOptions)
	}
	os.Exit(exitCode(err))
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var list findings.List
	if errors.As(err, &list) {
		return exitFindings
	}
	return exitError
}
