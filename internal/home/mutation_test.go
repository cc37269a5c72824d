package home

import (
	"bytes"
	"context"
	"flag"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

var mutations = flag.Bool("mutations", false, "check that the tests fail for each mutation in testdata/mutations")

// moduleRoot is the root of the module, seen from this package.
const moduleRoot = "../.."

// TestMutationsAreFound switches one mechanism off after the other, in a copy
// of the module, and requires that the tests of home and journal then fail.
// Each archive holds pairs of sections "PATH old" and "PATH new".
func TestMutationsAreFound(t *testing.T) {
	if !*mutations {
		t.Skip("needs -mutations")
	}
	files, err := filepath.Glob("testdata/mutations/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		require.NoError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			root := t.TempDir()
			copyModule(t, root)
			mutate(t, root, archive)
			output, failed := testsFail(t, root)
			require.True(t, failed, "%s: the tests pass\n%s", archive.Comment, output)
			t.Logf("%s%s", archive.Comment, firstFailure(output))
		})
	}
}

// copyModule copies the module's Go files and what tests read beside them.
func copyModule(t *testing.T, to string) {
	require.NoError(t, os.CopyFS(filepath.Join(to, "internal"), os.DirFS(filepath.Join(moduleRoot, "internal"))))
	for _, name := range []string{"go.mod", "go.sum"} {
		content, err := fs.ReadFile(os.DirFS(moduleRoot), name)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(to, name), content, 0o644))
	}
}

// mutate replaces each old section by the new one after it, once.
func mutate(t *testing.T, root string, archive *txtar.Archive) {
	for i := 0; i+1 < len(archive.Files); i += 2 {
		former, latter := archive.Files[i], archive.Files[i+1]
		path := filepath.Join(root, strings.TrimSuffix(former.Name, " old"))
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, 1, bytes.Count(content, former.Data), "%s: section %d is not found once", former.Name, i)
		changed := bytes.Replace(content, former.Data, latter.Data, 1)
		require.NoError(t, os.WriteFile(path, changed, 0o644))
	}
}

// testsFail runs the tests of the mutated module. A build that fails proves
// nothing and fails this test.
func testsFail(t *testing.T, root string) (string, bool) {
	for _, arguments := range [][]string{
		{"./internal/journal"},
		{"./internal/home", "-schedules", strconv.Itoa(*schedules), "-seed", strconv.FormatUint(*seed, 10)},
	} {
		arguments = append([]string{"test", "-vet=off", "-timeout=5m"}, arguments...)
		command := exec.CommandContext(context.Background(), "go", arguments...)
		command.Dir = root
		output, err := command.CombinedOutput()
		require.NotContains(t, string(output), "[build failed]", "%s", output)
		if err != nil {
			return string(output), true
		}
	}
	return "", false
}

// firstFailure returns the line that tells what was found.
func firstFailure(output string) string {
	for _, sign := range []string{"Original traceback (", "failed after", "panic: ", "Error:", "--- FAIL"} {
		for _, line := range strings.Split(output, "\n") {
			if strings.Contains(line, sign) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}
