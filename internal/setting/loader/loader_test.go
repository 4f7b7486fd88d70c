package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

// FuzzParse checks that each settings file is either accepted or rejected with a line and a field.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": "vm-1", // comment` + "\n}"))
	f.Add([]byte(`{"seeds": ["127.0.0.1:1", 5], "tls": {"cert-file": 1}}`))
	f.Add([]byte(`[`))
	f.Add([]byte(`0`))
	f.Add([]byte(`{"": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := loader.Parse("f", data)
		var fieldErr *loader.FieldError
		if err != nil && (!errors.As(err, &fieldErr) || fieldErr.Line < 1 || fieldErr.Field == "") {
			t.Fatalf("%v", err)
		}
	})
}

// FuzzParseDeclarations checks that each declarations file is either accepted or rejected with ErrInvalid.
func FuzzParseDeclarations(f *testing.F) {
	f.Add([]byte(`{"declarations": [{"kind": "key", "name": "a", "spec": {}}]}`))
	f.Add([]byte(`{"declarations": [{"kind": "event", "name": "a", "spec": {"starts": "x"}}, 7]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := loader.ParseDeclarations("f", data)
		if err != nil && !errors.Is(err, loader.ErrInvalid) {
			t.Fatalf("%v", err)
		}
	})
}

// TestExamples checks that the files in examples are valid declarations.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, path := range files {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		_, err = loader.ParseDeclarations(path, data)
		assert.NilError(t, err)
	}
}

// TestUnreadableFile checks that a file that cannot be read is as invalid as one with wrong contents, so that scripts get
// the same exit status.
func TestUnreadableFile(t *testing.T) {
	for _, path := range []string{"", "no-such-file.json", t.TempDir()} {
		_, err := loader.Load(path)
		assert.ErrorIs(t, err, loader.ErrInvalid)
		_, err = loader.LoadDeclarations(path)
		assert.ErrorIs(t, err, loader.ErrInvalid)
		var v any
		assert.ErrorIs(t, loader.DecodeFile(path, &v), loader.ErrInvalid)
	}
}
