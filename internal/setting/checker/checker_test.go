package checker_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/checker"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// TestExamples guards against findings in files that are in order.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, path := range files {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.DeepEqual(t, checker.Check(data, nil, false, now).Findings, []checker.Finding{})
	}
}

// TestInForce guards against a check that looks at the file alone: a key in force has the digest of a new one, and a new
// route hides one in force.
func TestInForce(t *testing.T) {
	digest := strings.Repeat("0", 64)
	key := `{"account": "a", "sha256": "` + digest + `"}`
	route := `{"service": "s", "method": "GET", "path": "/r", "importance": "low", "timeout-ms": 5}`
	inForce := []reducer.Resource{
		{Kind: reducer.KindAccount, Name: "a", Spec: []byte(`{"rate": 5, "burst": 5}`)},
		{Kind: reducer.KindKey, Name: "a-1", Spec: []byte(key)},
		{Kind: reducer.KindService, Name: "s", Spec: []byte(`{"slots": 5, "connections": 5}`)},
		{Kind: reducer.KindRoute, Name: "r-2", Spec: []byte(route)},
	}
	data := []byte(`{"declarations": [
{"kind": "key", "name": "a-2", "spec": ` + key + `},
{"kind": "route", "name": "r-1", "spec": ` + route + `}]}`)
	r := checker.Check(data, inForce, true, now)
	assert.DeepEqual(t, r.Findings, []checker.Finding{
		{Line: 2, Column: 67, Kind: reducer.KindKey, Name: "a-2", Message: "same key as a-1"},
		{
			Line: 3, Column: 84, Kind: reducer.KindRoute, Name: "r-1",
			Message: "hides route r-2, which is in force and has the same method and path",
		},
	})
	assert.Equal(t, len(r.Differences), 6)
}

// FuzzCheck guards against files that apply refuses and the check accepts, and against positions outside the file.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"declarations": [{"kind": "key", "name": "a", "spec": {}}]}`))
	f.Add([]byte(`{"Declarations": [{"kind": "event", "name": "a", "spec": {"starts": "x"}}, 7, null]}`))
	f.Add([]byte(`{"declarations": null}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := checker.Check(data, nil, true, now)
		_, err := loader.ParseDeclarations("f", data)
		if err != nil && len(r.Findings) == 0 {
			t.Fatalf("accepted, but not by apply: %v", err)
		}
		for _, finding := range r.Findings {
			if finding.Line < 1 || finding.Line > 1+bytes.Count(data, []byte("\n")) || finding.Column < 1 {
				t.Fatalf("%+v", finding)
			}
		}
	})
}
