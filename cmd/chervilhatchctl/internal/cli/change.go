package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/client"
	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/newkey"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/config/edit"
	"github.com/chervilhatch/chervilhatch/findings"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

var errNoAuthor = errors.New("--author must not be empty")

// Values of the field outcome in JSON output.
const (
	outcomeAccepted    = "accepted"
	outcomeConflict    = "conflict"
	outcomeInvalid     = "invalid"
	outcomeUnavailable = "store_unavailable"
	outcomeUnknown     = "unknown"
)

// change is a proposed configuration version.
type change struct {
	expected uint64
	document []byte
	summary  string
}

// changeResult is the outcome of a configuration change.
type changeResult struct {
	Outcome string `json:"outcome"`
	Version uint64 `json:"version,omitempty"`
	// InForce is true when every live VM has confirmed the version.
	InForce   bool           `json:"in_force"`
	Confirmed []string       `json:"confirmed,omitempty"`
	Missing   []string       `json:"missing,omitempty"`
	Winner    *historyEntry  `json:"winner,omitempty"`
	Findings  []findingEntry `json:"findings,omitempty"`
	// KeyID and Key are set by key grant.
	KeyID string `json:"key_id,omitempty"`
	Key   string `json:"key,omitempty"`
}

// findingEntry is the JSON form of a finding.
type findingEntry struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

func findingEntries(list findings.List) []findingEntry {
	entries := make([]findingEntry, len(list))
	for i, f := range list {
		entries[i] = findingEntry(f)
	}
	return entries
}

// reportFindings returns the findings as an error. With JSON output, it also
// prints them as a result.
func (a *app) reportFindings(list findings.List) error {
	if a.out.JSON {
		if err := a.out.Encode(changeResult{Outcome: outcomeInvalid, Findings: findingEntries(list)}); err != nil {
			return err
		}
	}
	return list
}

// editCurrent applies f to the version in force and submits the edited document.
func (a *app) editCurrent(ctx context.Context, summary string, f func(edit.Editor) ([]byte, error)) error {
	return a.withDaemon(func(d daemon) error {
		c, err := a.prepareEdit(ctx, d, summary, f)
		if err != nil {
			return err
		}
		r, err := a.submit(ctx, d, c)
		return a.reportChange(r, err)
	})
}

// prepareEdit applies f to the version in force and validates the edited document.
func (a *app) prepareEdit(ctx context.Context, d daemon, summary string, f func(edit.Editor) ([]byte, error)) (change, error) {
	current, doc, err := currentDocument(ctx, d)
	if err != nil {
		return change{}, err
	}
	data, err := f(edit.New(current.GetDocument(), doc))
	if err != nil {
		return change{}, err
	}
	if _, list := config.Parse("configuration", data); len(list) > 0 {
		return change{}, a.reportFindings(list)
	}
	return change{expected: current.GetVersion(), document: data, summary: summary}, nil
}

// currentDocument returns the version in force and its parsed document.
func currentDocument(ctx context.Context, d daemon) (*operatorv1.GetConfigResponse, *config.Document, error) {
	return documentVersion(ctx, d, 0)
}

// documentVersion returns a version of the configuration and its parsed
// document; version 0 means the one in force.
func documentVersion(ctx context.Context, d daemon, version uint64) (*operatorv1.GetConfigResponse, *config.Document, error) {
	answer, err := d.Config(ctx, version)
	if err != nil {
		return nil, nil, err
	}
	if answer.GetVersion() == 0 {
		return nil, nil, errors.New("there is no configuration yet; make one with config apply --expected 0")
	}
	doc, list := config.Parse(fmt.Sprintf("version %d", answer.GetVersion()), answer.GetDocument())
	return answer, doc, list.Err()
}

// submit sends the change to a daemon and, once accepted, waits until it is in
// force. The result may be set together with an error.
func (a *app) submit(ctx context.Context, d daemon, c change) (changeResult, error) {
	if a.author == "" {
		return changeResult{}, errNoAuthor
	}
	answer, err := d.Apply(ctx, &operatorv1.ApplyConfigRequest{
		ExpectedVersion: c.expected,
		Document:        c.document,
		Author:          a.author,
		Summary:         c.summary,
		RequestId:       newkey.RequestID(),
	})
	if err != nil {
		return changeResult{}, err
	}
	switch answer.GetOutcome() {
	case operatorv1.ApplyConfigResponse_OUTCOME_ACCEPTED:
		return a.waitInForce(ctx, d, answer.GetVersion())
	case operatorv1.ApplyConfigResponse_OUTCOME_CONFLICT:
		return conflictResult(answer)
	case operatorv1.ApplyConfigResponse_OUTCOME_INVALID:
		list := findingsFromProto(answer.GetFindings())
		return changeResult{Outcome: outcomeInvalid, Findings: findingEntries(list)}, list
	case operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE:
		return changeResult{Outcome: outcomeUnavailable}, fmt.Errorf("%w: the store did not answer; nothing was changed", client.ErrUnavailable)
	}
	return changeResult{Outcome: outcomeUnknown}, fmt.Errorf("%w: the change may have been accepted; see config history", errUnknown)
}

func conflictResult(answer *operatorv1.ApplyConfigResponse) (changeResult, error) {
	w := answer.GetWinner()
	entry := newHistoryEntry(w)
	r := changeResult{Outcome: outcomeConflict, Version: answer.GetVersion(), Winner: &entry}
	return r, fmt.Errorf("%w: version %d by %s at %s came first: %q; the newest version is %d, nothing was changed",
		errConflict, w.GetVersion(), w.GetAuthor(), entry.Accepted, w.GetSummary(), answer.GetVersion())
}

func findingsFromProto(list []*operatorv1.Finding) findings.List {
	out := make(findings.List, len(list))
	for i, f := range list {
		out[i] = findings.Finding{
			File: f.GetFile(), Line: int(f.GetLine()), Column: int(f.GetColumn()),
			Path: f.GetPath(), Message: f.GetMessage(),
		}
	}
	return out
}

// waitInForce waits up to --wait until the version is in force on every live VM,
// and reports progress on stderr.
func (a *app) waitInForce(ctx context.Context, d daemon, version uint64) (changeResult, error) {
	r := changeResult{Outcome: outcomeAccepted, Version: version}
	if a.wait <= 0 {
		return r, fmt.Errorf("version %d is accepted: %w: --wait is 0", version, errNotInForce)
	}
	start := time.Now()
	last := d.WaitInForce(ctx, version, a.wait, func(m *operatorv1.WaitInForceResponse) {
		confirmed := len(m.GetConfirmed())
		fmt.Fprintf(a.stderr, "version %d is in force on %d of %d VMs\n",
			version, confirmed, confirmed+len(m.GetMissing()))
	})
	r.InForce = last.GetDone()
	r.Confirmed = last.GetConfirmed()
	r.Missing = last.GetMissing()
	switch {
	case r.InForce:
		return r, nil
	case last == nil:
		return r, fmt.Errorf("version %d is accepted: %w: no daemon reported progress", version, errNotInForce)
	}
	return r, fmt.Errorf("version %d is accepted: %w: after %s not confirmed by %s",
		version, errNotInForce, time.Since(start).Round(time.Millisecond), strings.Join(r.Missing, ", "))
}

// reportChange prints the result of a change. With table output, a failed change
// is reported by its error alone.
func (a *app) reportChange(r changeResult, err error) error {
	if r.Outcome == "" || err != nil && !a.out.JSON {
		return err
	}
	return errors.Join(a.out.Result(r, "Version %d is in force on all %d live VMs.", r.Version, len(r.Confirmed)), err)
}
