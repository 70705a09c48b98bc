package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/render"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/linenode"
)

// explainTimeout bounds the question to a VM, which answers from memory.
const explainTimeout = 5 * time.Second

// explainFlags are the flags of the command explain.
type explainFlags struct {
	vm, database, workspace string
}

func (a *app) explainCommand() {
	f := &explainFlags{}
	c := a.addCommand(a.kingpin, "explain", "Tell where a VM of the line protocol would send a request now, and why; nothing is sent.",
		func(ctx context.Context) error { return a.explain(ctx, f) })
	c.Flag("vm", "Metrics address (host:port) of the VM.").Required().StringVar(&f.vm)
	c.Flag("database", "Database that a caller connects to.").Required().StringVar(&f.database)
	c.Flag("workspace", "Workspace of the caller; none for a route that needs no key.").StringVar(&f.workspace)
}

func (a *app) explain(ctx context.Context, f *explainFlags) error {
	x, err := fetchExplanation(ctx, f)
	if err != nil {
		return err
	}
	if a.out.JSON {
		return a.out.Encode(x)
	}
	return a.printExplanation(x)
}

// fetchExplanation asks a VM.
func fetchExplanation(ctx context.Context, f *explainFlags) (*linenode.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := url.URL{
		Scheme: "http", Host: f.vm, Path: linenode.ExplainPath,
		RawQuery: url.Values{"database": {f.database}, "workspace": {f.workspace}}.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM at %s: %s", f.vm, response.Status)
	}
	x := &linenode.Explanation{}
	if err := json.NewDecoder(response.Body).Decode(x); err != nil {
		return nil, fmt.Errorf("VM at %s: %w", f.vm, err)
	}
	return x, nil
}

func (a *app) printExplanation(x *linenode.Explanation) error {
	fmt.Fprintf(a.out.Writer, "VM %s, configuration version %d, route %s, service %s\n", x.VM, x.ConfigVersion, x.Route, x.Service)
	if x.Refused != "" {
		fmt.Fprintf(a.out.Writer, "would be refused: %s\n", x.Refused)
	}
	if w := x.Write; w != nil {
		fmt.Fprintf(a.out.Writer, "writes and strict reads: upstream %s, holder %s, confirmed for %d ms\n", w.Upstream, ownIfEmpty(w.Holder), w.ConfirmedMS)
		if w.Unusable != "" {
			fmt.Fprintf(a.out.Writer, "the primary is not used: %s; no primary known for %d ms\n", w.Unusable, w.GapMS)
		}
	}
	if x.Read == nil {
		return nil
	}
	fmt.Fprintf(a.out.Writer, "other reads: log position %s or later, by evidence of %d ms ago\n\n", x.Read.Floor, x.Read.EvidenceAgeMS)
	return a.out.Print(candidateTable(x.Read.Candidates))
}

func candidateTable(candidates []linenode.ExplainedCandidate) render.Table {
	t := render.Table{Header: []string{"UPSTREAM", "ZONE", "RANK", "HOLDER", "PROBABILITY", "ESTIMATE MS", "IN FLIGHT", "FIGURE AGE MS"}}
	for i := range candidates {
		c := &candidates[i]
		t.Rows = append(t.Rows, []string{
			string(c.Upstream), string(c.Zone), c.Rank, ownIfEmpty(c.Holder), fmt.Sprintf("%.2f", c.Probability),
			fmt.Sprintf("%.1f", c.EstimateMS), fmt.Sprintf("%.1f", c.InFlight), strconv.FormatInt(c.FigureAgeMS, 10),
		})
	}
	return t
}

// ownIfEmpty names the holder of a VM's own connections.
func ownIfEmpty(holder model.VMID) string {
	if holder == "" {
		return "(own)"
	}
	return string(holder)
}
