// Command harness plays the script cases of the review. It starts the proxy as separate
// processes and plays the platform, the backends and the consumers itself.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// environment is what a case gets.
type environment struct {
	deployment *deployment
	rec        *record
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases has the script cases by name. Each returns whether the rule held, and what was
// seen.
var cases = map[string]func(*environment) (held bool, seen string, err error){
	"route": playRoute,
	"stop":  playStop,
	"stall": playStall,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY FOLDER")
		return notRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	d, err := newDeployment(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.close()
	e := &environment{deployment: d, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	held, seen, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		rec.add("verdict: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case !held:
		rec.add("verdict: the rule was broken: %s", seen)
		fmt.Println("broken:", seen)
		return ruleBroken
	}
	rec.add("verdict: the rule held: %s", seen)
	fmt.Println("held:", seen)
	return ruleHeld
}
