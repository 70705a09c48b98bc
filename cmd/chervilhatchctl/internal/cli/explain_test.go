package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/linenode"
)

// Guards against an explanation that leaves out why a request goes where it goes, or why it
// would be refused.
func TestExplain(t *testing.T) {
	answer := linenode.Explanation{
		VM: "vm-1", ConfigVersion: 7, Route: "r", Service: "db",
		Write: &linenode.ExplainedWrite{Upstream: "i-1", Holder: "vm-2", ConfirmedMS: 640},
		Read: &linenode.ExplainedRead{Floor: "3.17", EvidenceAgeMS: 120, Candidates: []linenode.ExplainedCandidate{
			{Upstream: "i-2", Zone: "a", Rank: "replica", Probability: 0.75, EstimateMS: 21.5, InFlight: 3, FigureAgeMS: 80},
		}},
	}
	asked := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	run := func(extra ...string) (string, int) {
		var out, errs bytes.Buffer
		args := append([]string{"explain", "--vm", strings.TrimPrefix(server.URL, "http://"), "--database", "d b", "--workspace", "w"}, extra...)
		code := Run(context.Background(), args, &out, &errs)
		return out.String() + errs.String(), code
	}
	text, code := run()
	if code != exitDone || asked != linenode.ExplainPath+"?database=d+b&workspace=w" {
		t.Errorf("exit code %d after asking %s", code, asked)
	}
	for _, want := range []string{"vm-1", "i-1", "vm-2", "640 ms", "3.17", "120 ms", "i-2", "replica", "(own)", "0.75", "21.5", "80"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	var decoded linenode.Explanation
	if text, code := run("--output", "json"); code != exitDone || json.Unmarshal([]byte(text), &decoded) != nil || decoded.Read.Candidates[0] != answer.Read.Candidates[0] {
		t.Errorf("exit code %d, JSON:\n%s", code, text)
	}
	answer = linenode.Explanation{VM: "vm-1", Refused: "no route has this database"}
	if text, _ := run(); !strings.Contains(text, answer.Refused) {
		t.Errorf("no cause of the refusal in:\n%s", text)
	}
	server.Close()
	if _, code := run(); code == exitDone {
		t.Error("a VM that does not answer gives no error")
	}
}
