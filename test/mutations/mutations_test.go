//go:build mutations

package mutations

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutationsAreDetected applies each patch to its own copy of the module and requires
// that the tests named by the patch fail.
func TestMutationsAreDetected(t *testing.T) {
	for _, p := range readPatches(t) {
		t.Run(p.name, func(t *testing.T) { requireDetected(t, p) })
	}
}

// requireDetected applies one patch to a copy of the module and requires that the tests
// it names fail, other than by a build error.
func requireDetected(t *testing.T, p patch) {
	root := t.TempDir()
	copyModule(t, root)
	for _, c := range p.changes {
		path := filepath.Join(root, c.path)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, c.apply(t, content), 0o644))
	}
	command := exec.Command("go", append([]string{"test", "-count=1", "-vet=off"}, p.tests...)...)
	command.Dir = root
	output, err := command.CombinedOutput()
	require.NotContains(t, string(output), "[build failed]", "%s", output)
	require.Error(t, err, "%s: the tests pass with the mutation applied", p.promise)
	// A build that a test starts may fail too, before any test has run.
	require.Contains(t, string(output), "--- FAIL", "no test has failed:\n%s", output)
	t.Logf("%s\n%s", p.promise, firstFailure(string(output)))
}

// copyModule copies the files of the module that the tests need.
func copyModule(t *testing.T, to string) {
	for _, dir := range []string{"internal", "cmd", "platform", "test"} {
		require.NoError(t, os.CopyFS(filepath.Join(to, dir), os.DirFS(filepath.Join(moduleRoot, dir))))
	}
	for _, name := range []string{"go.mod", "go.sum"} {
		content, err := os.ReadFile(filepath.Join(moduleRoot, name))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(to, name), content, 0o644))
	}
}

// firstFailure returns the line of the test output that best describes the failure, or "".
func firstFailure(output string) string {
	for _, marker := range []string{"failed after", "panic: ", "FAIL: ", "Error:", "--- FAIL"} {
		for line := range strings.Lines(output) {
			if strings.Contains(line, marker) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}
