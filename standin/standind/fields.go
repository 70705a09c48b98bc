package main

import (
	"fmt"
	"strings"
)

// splitFields splits text at commas into the named fields, none of which may be
// empty.
func splitFields(text string, names ...string) ([]string, error) {
	fields := strings.Split(text, ",")
	if len(fields) != len(names) {
		return nil, fmt.Errorf("%q: want %s", text, strings.Join(names, ","))
	}
	for i, field := range fields {
		if field == "" {
			return nil, fmt.Errorf("%q: %s is empty", text, names[i])
		}
	}
	return fields, nil
}
