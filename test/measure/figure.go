package main

import (
	"fmt"
	"math"
)

// comparison says how a value relates to its target.
type comparison string

const (
	atLeast comparison = "at least"
	atMost  comparison = "at most"
)

// target is the bound that a figure should meet.
type target struct {
	Is    comparison `json:"is"`
	Value float64    `json:"value"`
}

func (t target) met(value float64) bool {
	if t.Is == atLeast {
		return value >= t.Value
	}
	return value <= t.Value
}

// baseline is a value for comparison: the same quantity measured or computed
// without the mechanism that the figure assesses.
type baseline struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// figure is one measured value.
type figure struct {
	Name       string   `json:"name"`
	Deployment string   `json:"deployment"`
	Unit       string   `json:"unit"`
	Value      float64  `json:"value"`
	Target     target   `json:"target"`
	Baseline   baseline `json:"baseline"`
	Met        bool     `json:"met"`
	// Detail describes the conditions under which the value was measured.
	Detail string `json:"detail"`
	Seed   uint64 `json:"seed"`
}

// valid reports whether value and baseline are finite; without samples they are
// not.
func (f figure) valid() bool { return finite(f.Value) && finite(f.Baseline.Value) }

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// figureOf fills in the deployment, the seed and whether the target is met.
func (b *testbed) figureOf(f figure) figure {
	f.Deployment = b.name
	f.Seed = b.seed
	f.Met = f.valid() && f.Target.met(f.Value)
	return f
}

func (f figure) String() string {
	result := "target missed"
	if f.Met {
		result = "target met"
	}
	return fmt.Sprintf("%-10s %-52s %10.4g %-8s %s (%s %g); baseline %.4g; %s",
		f.Deployment, f.Name, f.Value, f.Unit, result, f.Target.Is, f.Target.Value, f.Baseline.Value, f.Detail)
}
