package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/ctl"
)

const requestEndedLine = `{"fields":{"instance":"g1","request":"r1","status":404,"took_ms":1,"verdict":"not_run","reason":"unknown_route"},` +
	`"level":"info","timestamp":"2026-03-03T12:00:00Z","message":"request ended"}` + "\n"

// explain runs ibisctl explain and returns its exit code and both outputs.
func explain(input string, argv ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	streams := ctl.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr}
	code = ctl.Run(context.Background(), append([]string{"explain"}, argv...), streams)
	return code, stdout.String(), stderr.String()
}

func TestExplainReadsStandardInputOrFiles(t *testing.T) {
	code, out, notes := explain("noise\n"+requestEndedLine, "r1")
	require.Equal(t, ctl.ExitOK, code)
	require.Contains(t, out, "cause: answered 404; it did not run; the configuration in force has no route for it")
	require.Contains(t, notes, "1 lines are not log records")
	file := filepath.Join(t.TempDir(), "g1.log")
	require.NoError(t, os.WriteFile(file, []byte(requestEndedLine), 0o644))
	code, again, _ := explain("", "r1", file)
	require.Equal(t, ctl.ExitOK, code)
	require.Equal(t, out, again)
}

func TestExplainNamesMissingRequestOrFile(t *testing.T) {
	code, _, notes := explain(requestEndedLine, "r2")
	require.Equal(t, ctl.ExitNotFound, code)
	require.Contains(t, notes, "r2")
	code, _, notes = explain("", "r1", filepath.Join(t.TempDir(), "absent.log"))
	require.Equal(t, ctl.ExitUsage, code)
	require.Contains(t, notes, "absent.log")
}
