package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/chervilhatch/chervilhatch/core/config"
)

// versionHeader is the start of the first line that `config show` prints.
const versionHeader = "// chervilhatch configuration version "

var errNoVersion = errors.New("config show printed no version")

// changeConfig edits the current configuration and applies it, without waiting until
// the new version is in force.
func (b *testbed) changeConfig(ctx context.Context, edit func(*config.Document)) error {
	text, err := b.Ctl(ctx, 0, "config", "show")
	if err != nil {
		return err
	}
	version, err := shownVersion(text)
	if err != nil {
		return err
	}
	document, list := config.Parse("shown", []byte(text))
	if err := list.Err(); err != nil {
		return err
	}
	edit(document)
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	path := filepath.Join(b.dir, "change.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	return b.ctlNoWait(ctx, "config", "apply", path, "--expected", version, "--summary", "measurement")
}

func shownVersion(text string) (string, error) {
	first, _, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(first, versionHeader) {
		return "", fmt.Errorf("%w: %q", errNoVersion, first)
	}
	fields := strings.Fields(strings.TrimPrefix(first, versionHeader))
	if len(fields) == 0 {
		return "", errNoVersion
	}
	return strings.TrimRight(fields[0], ",;:."), nil
}

// notInForce is part of the error with which chervilhatchctl --wait 0s ends after
// a change was accepted.
const notInForce = "--wait is 0"

// ctlNoWait runs chervilhatchctl and returns once the change is accepted, without
// waiting until it is in force.
func (b *testbed) ctlNoWait(ctx context.Context, args ...string) error {
	_, err := b.Ctl(ctx, 0, append([]string{"--wait", "0s"}, args...)...)
	if err != nil && strings.Contains(err.Error(), notInForce) {
		return nil
	}
	return err
}
