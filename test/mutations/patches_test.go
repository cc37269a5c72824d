// Package mutations switches one mechanism off after the other, in a copy of the
// module, and requires that tests then fail. A patch is a txtar archive: its
// comment names the promise in the first line and the arguments of "go test" in
// the second; its files come in pairs "PATH old" and "PATH new".
package mutations

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

// moduleRoot is the root of the module, seen from this package.
const moduleRoot = "../.."

// patch switches one mechanism off.
type patch struct {
	name    string
	promise string
	tests   []string
	changes []change
}

// change replaces a section of a file that stands in it once.
type change struct {
	path   string
	former []byte
	latter []byte
}

// readPatches returns all patches.
func readPatches(t *testing.T) []patch {
	files, err := filepath.Glob("patches/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var all []patch
	for _, file := range files {
		all = append(all, readPatch(t, file))
	}
	return all
}

// readPatch reads one archive.
func readPatch(t *testing.T, file string) patch {
	archive, err := txtar.ParseFile(file)
	require.NoError(t, err)
	promise, tests, _ := strings.Cut(strings.TrimSpace(string(archive.Comment)), "\n")
	p := patch{
		name:    strings.TrimSuffix(filepath.Base(file), ".txtar"),
		promise: promise,
		tests:   strings.Fields(tests),
	}
	require.NotEmpty(t, p.tests, "%s names no tests", file)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		former, latter := archive.Files[i], archive.Files[i+1]
		p.changes = append(p.changes, change{
			path:   strings.TrimSuffix(former.Name, " old"),
			former: former.Data,
			latter: latter.Data,
		})
	}
	return p
}

// apply returns the changed content.
func (c change) apply(t *testing.T, content []byte) []byte {
	require.Equal(t, 1, bytes.Count(content, c.former), "%s does not hold this once:\n%s", c.path, c.former)
	return bytes.Replace(content, c.former, c.latter, 1)
}

// TestPatchesApply keeps the patches in step with the code, without running the
// tests of the mutated module.
func TestPatchesApply(t *testing.T) {
	for _, p := range readPatches(t) {
		t.Run(p.name, func(t *testing.T) {
			contents := map[string][]byte{}
			for _, c := range p.changes {
				content, known := contents[c.path]
				if !known {
					var err error
					content, err = os.ReadFile(filepath.Join(moduleRoot, c.path))
					require.NoError(t, err)
				}
				contents[c.path] = c.apply(t, content)
			}
		})
	}
}
