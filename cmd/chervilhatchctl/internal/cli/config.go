package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/render"
	"github.com/chervilhatch/chervilhatch/core/config"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

// versionHeader starts the first line of the output of config show. config apply
// reads from it which version an edited file is based on.
const versionHeader = "// chervilhatch configuration version "

var errNoExpectedVersion = errors.New("--expected is needed, because the file does not start with the line that config show prints")

// configFlags holds the flags and arguments of the config commands.
type configFlags struct {
	file      string
	version   uint64
	expected  string
	summary   string
	canonical bool
	limit     int
}

func (a *app) configCommands() {
	f := &configFlags{}
	group := a.kingpin.Command("config", "Check, compare, change and read the configuration.")

	check := a.addCommand(group, "check", "Check a file and print all findings.", func(context.Context) error { return a.configCheck(f) })
	check.Arg("file", "Configuration file.").Required().ExistingFileVar(&f.file)

	diff := a.addCommand(group, "diff", "List what a file would change.", func(ctx context.Context) error { return a.configDiff(ctx, f) })
	diff.Arg("file", "Configuration file.").Required().ExistingFileVar(&f.file)
	diff.Flag("against", "Compare with this version instead of the one in force.").Uint64Var(&f.version)

	apply := a.addCommand(group, "apply", "Replace the configuration by a file.", func(ctx context.Context) error { return a.configApply(ctx, f) })
	apply.Arg("file", "Configuration file.").Required().ExistingFileVar(&f.file)
	apply.Flag("expected", "Version that the file was made from; 0 for the first configuration.").StringVar(&f.expected)
	apply.Flag("summary", "Why the configuration is changed.").StringVar(&f.summary)

	show := a.addCommand(group, "show", "Print the configuration.", func(ctx context.Context) error { return a.configShow(ctx, f) })
	show.Arg("version", "Version to print instead of the one in force.").Uint64Var(&f.version)
	show.Flag("canonical", "Print every field in a fixed order, without comments.").BoolVar(&f.canonical)

	history := a.addCommand(group, "history", "List the newest changes.", func(ctx context.Context) error { return a.configHistory(ctx, f) })
	history.Flag("limit", "How many changes to list.").Default("20").IntVar(&f.limit)
}

// readDocument reads and validates a file. If the file starts with versionHeader,
// header is the version in that line and data is the text after it.
func (a *app) readDocument(path string) (data []byte, doc *config.Document, header string, err error) {
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, nil, "", err
	}
	doc, list := config.Parse(path, data)
	if len(list) > 0 {
		return nil, nil, "", a.reportFindings(list)
	}
	rest, found := bytes.CutPrefix(data, []byte(versionHeader))
	if !found {
		return data, doc, "", nil
	}
	line, rest, _ := bytes.Cut(rest, []byte("\n"))
	return rest, doc, string(bytes.TrimSpace(line)), nil
}

func (a *app) configCheck(f *configFlags) error {
	if _, _, _, err := a.readDocument(f.file); err != nil {
		return err
	}
	return a.out.Result(map[string]any{"file": f.file, "findings": []string{}}, "%s: no findings", f.file)
}

func (a *app) configDiff(ctx context.Context, f *configFlags) error {
	_, after, _, err := a.readDocument(f.file)
	if err != nil {
		return err
	}
	return a.withDaemon(func(d daemon) error {
		_, before, err := documentVersion(ctx, d, f.version)
		if err != nil {
			return err
		}
		changes := config.Diff(before, after)
		table := render.Table{Header: []string{"CHANGE", "PATH", "OLD", "NEW"}, Value: changes}
		for _, c := range changes {
			table.Rows = append(table.Rows, []string{string(c.Kind), c.Path, c.Old, c.New})
		}
		return a.out.Print(table)
	})
}

func (a *app) configApply(ctx context.Context, f *configFlags) error {
	data, _, header, err := a.readDocument(f.file)
	if err != nil {
		return err
	}
	if f.expected == "" {
		f.expected = header
	}
	if f.expected == "" {
		return errNoExpectedVersion
	}
	expected, err := strconv.ParseUint(f.expected, 10, 64)
	if err != nil {
		return fmt.Errorf("expected version %q is not a number", f.expected)
	}
	return a.withDaemon(func(d daemon) error {
		r, err := a.submit(ctx, d, change{expected: expected, document: data, summary: f.summary})
		return a.reportChange(r, err)
	})
}

// configEntry is the JSON form of a configuration version.
type configEntry struct {
	historyEntry
	Document string `json:"document"`
}

func (a *app) configShow(ctx context.Context, f *configFlags) error {
	return a.withDaemon(func(d daemon) error {
		answer, doc, err := documentVersion(ctx, d, f.version)
		if err != nil {
			return err
		}
		text := answer.GetDocument()
		if f.canonical {
			text = config.Encode(doc)
		}
		shown := configEntry{newHistoryEntry(answer), string(text)}
		return a.out.Result(shown, "%s%d\n%s", versionHeader, answer.GetVersion(), bytes.TrimRight(text, "\n"))
	})
}

// historyEntry is the JSON form of a change in the history.
type historyEntry struct {
	Version  uint64 `json:"version"`
	Accepted string `json:"accepted"`
	Author   string `json:"author"`
	Summary  string `json:"summary"`
}

func newHistoryEntry(r *operatorv1.GetConfigResponse) historyEntry {
	return historyEntry{
		Version:  r.GetVersion(),
		Accepted: time.UnixMilli(r.GetAcceptedUnixMs()).UTC().Format(time.RFC3339),
		Author:   r.GetAuthor(),
		Summary:  r.GetSummary(),
	}
}

func (a *app) configHistory(ctx context.Context, f *configFlags) error {
	return a.withDaemon(func(d daemon) error {
		answer, err := d.History(ctx, f.limit)
		if err != nil {
			return err
		}
		entries := make([]historyEntry, len(answer.GetChanges()))
		table := render.Table{Header: []string{"VERSION", "ACCEPTED", "AUTHOR", "SUMMARY"}, Value: entries}
		for i, c := range answer.GetChanges() {
			e := newHistoryEntry(c)
			entries[i] = e
			table.Rows = append(table.Rows, []string{strconv.FormatUint(e.Version, 10), e.Accepted, e.Author, e.Summary})
		}
		return a.out.Print(table)
	})
}
