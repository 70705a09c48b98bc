package platform

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/platform"
)

// withField returns the registration with the field's value replaced, or without the field if
// value is empty.
func withField(t *testing.T, field, value string) string {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(registration), &fields); err != nil {
		t.Fatal(err)
	}
	fields[field] = json.RawMessage(value)
	if value == "" {
		delete(fields, field)
	}
	// Values that are no valid JSON are inserted as they are.
	parts := []string{}
	for name, v := range fields {
		parts = append(parts, strconv.Quote(name)+":"+string(v))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Guards against entries of other writers that are decoded as upstreams or end the process, and
// against errors as long as the entry: each field in turn is missing or has a value of another
// type, out of its range, deeply nested or as large as the store allows.
func TestDecodeOddRegistration(t *testing.T) {
	const maxValue = 1 << 20
	nested := func(size int) string { return strings.Repeat("[", size/2) + strings.Repeat("]", size/2) }
	nestedObject := func(size int) string {
		return strings.Repeat(`{"a":`, size/6) + "1" + strings.Repeat("}", size/6)
	}
	digits := strings.Repeat("9", maxValue/2)
	odd := map[string][]string{}
	for _, field := range []string{"service-name", "address", "zone", "version", "slots", "phase", "warmup-left-ms", "db-role", "sequence", "born"} {
		odd[field] = []string{
			"null", "{}", "[]", "true", "[1]", `{"a":1}`, "1e400", "-1e400", digits, "-" + digits, digits + ".5", `"` + digits + `"`,
			nested(64), nested(9000), nested(30000), nested(maxValue / 2), nestedObject(9000), nestedObject(maxValue / 2), "nul", `"`, "NaN", "01",
		}
		if field != "born" {
			odd[field] = append(odd[field], "")
		}
	}
	// Any text is a version.
	odd["version"] = slices.DeleteFunc(odd["version"], func(v string) bool { return v == `"`+digits+`"` })
	odd["version"] = append(odd["version"], "1", "1.5")
	odd["zone"] = append(odd["zone"], "1", `"`+digits[:201]+`"`)
	for _, field := range []string{"slots", "sequence", "born", "warmup-left-ms"} {
		odd[field] = append(odd[field], `"3"`, "-1", "-9223372036854775809", "1e30")
	}
	odd["slots"] = append(odd["slots"], "0", "1.5", "9223372036854775808")
	odd["sequence"] = append(odd["sequence"], "1.5", "9223372036854775808")
	odd["born"] = append(odd["born"], "1.5", "9223372036854775808")
	odd["warmup-left-ms"] = append(odd["warmup-left-ms"], "9300000000000", "1e300")
	odd["service-name"] = append(odd["service-name"], `""`, `"a b"`, `"a\r\nQUERY - STATUS"`, `"a\u0000"`, "1")
	odd["address"] = append(odd["address"], `""`, `"10.1.0.9"`, `":8080"`, `"10.1.0.9:"`, `"10.1.0.9:0"`, `"10.1.0.9:65536"`, `"10.1.0.9:70000"`,
		`"10.1.0.9:-1"`, `"10.1.0.9:+1"`, `"10.1.0.9:99999999999999999999"`, `"10.1.0.9:http"`, `"10.1.0.300:80"`, `"10.1.0.9:80:80"`, `"a host:80"`,
		`"10.1.0.9 :80"`, `"http://10.1.0.9:80"`, `"10.1.0.9:80\r\n"`, "8080")
	odd["phase"] = append(odd["phase"], `"asleep"`, `"READY"`, `""`, "1")
	odd["db-role"] = append(odd["db-role"], `"witness"`, `""`, "1")
	for field, values := range odd {
		for _, value := range values {
			r, err := platform.DecodeRegistration("servers/i-1", []byte(withField(t, field, value)))
			short := value[:min(len(value), 40)]
			if err == nil {
				t.Errorf("%s: %s (%d bytes) was decoded as an upstream of %.40q at %.40q", field, short, len(value), r.Service, r.Address)
			} else if len(err.Error()) > 1000 {
				t.Errorf("%s: %s (%d bytes): the error has %d bytes", field, short, len(value), len(err.Error()))
			}
		}
	}
	for _, key := range []string{"servers/", "servers/a b", "servers/a\r\nQUERY", "servers/\x00", "servers/\u0085"} {
		if _, err := platform.DecodeRegistration(key, []byte(registration)); err == nil {
			t.Errorf("key %q was accepted", key)
		}
	}
	for _, value := range []string{nested(maxValue), nestedObject(maxValue), digits, registration + "{}", "[" + registration + "]", strings.Replace(registration, `"z"`, "\"\xff\"", 1)} {
		if _, err := platform.DecodeRegistration("servers/i-1", []byte(value)); err == nil || len(err.Error()) > 1000 {
			t.Errorf("%.60q (%d bytes): %.200v", value, len(value), err)
		}
	}
}

// Guards against upstreams that are not used because a field has an unusual value.
func TestDecodeUnusualRegistration(t *testing.T) {
	long := strings.Repeat("z", 1<<19)
	for field, values := range map[string][]string{
		"warmup-left-ms": {"0", "0.0", "1.5", "86400000"},
		"born":           {"", "0", "1700000000000", "9223372036854775807"},
		"sequence":       {"0", "9223372036854775807"},
		"slots":          {"1", "2147483648"},
		"address":        {`"[::1]:80"`, `"10.1.0.9:1"`, `"10.1.0.9:65535"`},
		"zone":           {`""`, `"` + long[:200] + `"`},
		"version":        {`""`, `"` + long + `"`},
		"new-field":      {"null", strings.Repeat("[", 9000) + strings.Repeat("]", 9000), "1e400"},
	} {
		for _, value := range values {
			if _, err := platform.DecodeRegistration("servers/i-1", []byte(withField(t, field, value))); err != nil {
				t.Errorf("%s: %.40s: %v", field, value, err)
			}
		}
	}
}
