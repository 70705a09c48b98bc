package property

import (
	"flag"
	"os"
	"testing"
)

// fixedFlags make every run use the same random events, and keep failures from
// leaving files. A flag given on the command line wins.
var fixedFlags = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "100",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range fixedFlags {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
