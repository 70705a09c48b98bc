package frontend

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a SQLSTATE of package sqlstate that docs/errors.md does not
// document.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../sqlstate/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no source of package sqlstate: %v", err)
	}
	constant := regexp.MustCompile(`Code = "([0-9A-Z]{5})"`)
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range constant.FindAllStringSubmatch(string(source), -1) {
			if !strings.Contains(string(page), "\n| "+match[1]+" |") {
				t.Errorf("%s is not documented", match[1])
			}
		}
	}
}
