package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot in the page.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plotDir is the directory of the plots, relative to that of the page.
const plotDir = "measurements"

const pageHeader = `# Measurements

This page is written by ` + "`make measure`" + ` (package test/measure); don't edit it. The record is
[measurements/record.json](measurements/record.json).

Real daemon processes run in the shape of each deployment of section 1 of [design.md](design.md), on
loopback of one machine, with stand-ins of the platform and of the databases in the measuring process.
Delays of links come from forwarding connections inside the measuring process: one way, between any two
VMs and from a VM to an upstream, also within a zone, because an address is the same for all that connect
to it. The figures are therefore with more delay than the deployments have. Replication between upstreams
is delayed only after the first change of primary. Timers of the measuring process may add up to about a
millisecond to a delay.

Requests arrive at random times with fixed seeds and do not wait for earlier answers; a latency counts
from the arrival, so that waiting in the load generator is included. Where there are too few events for a
99th percentile, the longest of all trials is given instead.

`

func (r *record) writePage(path string) error {
	var out strings.Builder
	out.WriteString(pageHeader)
	fmt.Fprintf(&out, "Run of %s, %s long, seed %d, %d shared cores, %s", r.Started.Format("2006-01-02 15:04 MST"), r.Duration, r.Seed, r.Cores, r.Go)
	if r.Short {
		out.WriteString(", with the flag --short")
	}
	out.WriteString(".\n")
	r.writeStandins(&out)
	r.writeFigures(&out)
	r.writeSkipped(&out)
	r.writeProcessors(&out)
	if err := r.writePlots(&out, filepath.Dir(path)); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}

func (r *record) writeFigures(out *strings.Builder) {
	deployment := ""
	for _, f := range r.Figures {
		if f.Deployment != deployment {
			deployment = f.Deployment
			fmt.Fprintf(out, "\n## %s\n\n| figure | value | target | met | baseline | detail |\n|---|---|---|---|---|---|\n", deployment)
		}
		met := "no"
		if f.Met {
			met = "yes"
		}
		fmt.Fprintf(out, "| %s | %.4g %s | %s %g | %s | %.4g: %s | %s |\n",
			f.Name, f.Value, f.Unit, f.Target.Is, f.Target.Value, met, f.Baseline.Value, f.Baseline.Name, f.Detail)
	}
}

func (r *record) writeSkipped(out *strings.Builder) {
	out.WriteString("\n## Not measured\n\n")
	if len(r.Skipped) == 0 {
		out.WriteString("Nothing is missing from this run.\n")
	}
	for _, s := range r.Skipped {
		reason, _, _ := strings.Cut(s.Reason, "\n")
		fmt.Fprintf(out, "- %s, %s: %s\n", s.Deployment, s.Name, reason)
	}
}

func (r *record) writePlots(out *strings.Builder, dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, plotDir), 0o755); err != nil {
		return err
	}
	out.WriteString("\n## Plots\n")
	for _, c := range r.Curves {
		file := plotDir + "/" + fileName(c.Deployment+" "+c.Name) + ".svg"
		if err := c.draw(filepath.Join(dir, file)); err != nil {
			return fmt.Errorf("plot %s: %w", c.Name, err)
		}
		fmt.Fprintf(out, "\n%s, %s:\n\n![%s](%s)\n", c.Deployment, c.Name, c.Name, file)
	}
	return nil
}

// fileName derives a file name from a title.
func fileName(title string) string {
	keep := func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
			return c
		}
		return '-'
	}
	return strings.Map(keep, strings.ToLower(title))
}

func (c curve) draw(path string) error {
	p := plot.New()
	p.Title.Text = c.Deployment + ": " + c.Name
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.Y.Min = 0
	p.Legend.Top = true
	for i, line := range c.Lines {
		points := make(plotter.XYs, len(line.XY))
		for n, xy := range line.XY {
			points[n] = plotter.XY{X: xy[0], Y: xy[1]}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(line.Name, drawn)
	}
	return p.Save(plotWidth, plotHeight, path)
}
