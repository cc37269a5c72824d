// Package mutations checks that the tests detect faults: it disables one mechanism at a
// time in a copy of the module and requires that tests then fail. Each mutation is a txtar
// archive. The first line of its comment names the violated promise and the fault, the
// second the arguments of "go test"; its files come in pairs "PATH old" and "PATH new".
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

// moduleRoot is the path of the module's root directory relative to this package.
const moduleRoot = "../.."

// patch is a mutation that disables one mechanism.
type patch struct {
	name    string
	promise string   // the violated promise and the fault
	tests   []string // arguments of "go test"
	changes []change
}

// change replaces a text that occurs exactly once in a file.
type change struct {
	path    string
	oldText []byte
	newText []byte
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

// readPatch reads one patch from its txtar archive.
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
		before, after := archive.Files[i], archive.Files[i+1]
		p.changes = append(p.changes, change{
			path:    strings.TrimSuffix(before.Name, " old"),
			oldText: before.Data,
			newText: after.Data,
		})
	}
	return p
}

// apply returns content with the change applied, and fails unless oldText occurs once.
func (c change) apply(t *testing.T, content []byte) []byte {
	require.Equal(t, 1, bytes.Count(content, c.oldText),
		"%s does not contain this text exactly once:\n%s", c.path, c.oldText)
	return bytes.Replace(content, c.oldText, c.newText, 1)
}

// TestPatchesApply detects patches that no longer match the code, without running the
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
