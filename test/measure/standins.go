package main

import (
	"fmt"
	"strings"
)

// writeStandins compares the capacity of the stand-ins with the load, to show
// whether they could be the bottleneck.
func (r *record) writeStandins(out *strings.Builder) {
	out.WriteString("\nThe stand-ins are compared with the load in the same run: a stand-in is no bottleneck where it serves\n" +
		"several times what a deployment's load asks of it, where only the daemon's processor time counts, or where\n" +
		"its slots are meant to be short (fair share). The table at the end shows that cores were left.\n\n")
	direct := 0
	for _, f := range r.Figures {
		if strings.HasPrefix(f.Name, "statements a second per core") {
			fmt.Fprintf(out, "- %s: one upstream serves %.0f statements a second on direct connections (%s); the largest load of\n"+
				"  the deployment is %.0f requests a second over nine upstreams.\n",
				f.Deployment, f.Baseline.Value, f.Name, largestLoad(f.Deployment))
			direct++
		}
	}
	if direct == 0 {
		out.WriteString("- The capacity of the stand-ins was not measured in this run.\n")
	}
}

// largestLoad returns the sum of the rates of a deployment's workspaces.
func largestLoad(name string) float64 {
	for _, d := range deployments() {
		if d.name == name {
			return sum(d.rates)
		}
	}
	return 0
}
