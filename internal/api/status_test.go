package api

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/verdict"
)

// declaredReasons reads the reasons from the source of package verdict, so that
// the test fails for a new reason without a status.
func declaredReasons(t *testing.T) []verdict.Reason {
	file, err := parser.ParseFile(token.NewFileSet(), "../verdict/verdict.go", nil, 0)
	require.NoError(t, err)
	var reasons []verdict.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			reasons = append(reasons, verdict.Reason(text))
		}
		return true
	})
	require.Greater(t, len(reasons), 20)
	return reasons
}

// TestStatusOfVerdictAndReason checks that each reason has a status, and that the
// statuses that callers retry on, 503 and 429, are returned only with not_run and
// with a Retry-After header.
func TestStatusOfVerdictAndReason(t *testing.T) {
	for _, reason := range declaredReasons(t) {
		require.Contains(t, statusByReason, reason)
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			w := httptest.NewRecorder()
			writeFailure(w, "id", verdict.New(v, reason, "text"))
			require.GreaterOrEqual(t, w.Code, 400, "%s %s", reason, v)
			require.Equal(t, v.String(), w.Header().Get(HeaderVerdict))
			retryable := w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests
			require.Equal(t, retryable, w.Header().Get("Retry-After") != "", "%s %s", reason, v)
			if v != verdict.NotRun {
				require.False(t, retryable, "%s %s answers %d", reason, v, w.Code)
			}
		}
	}
	require.Equal(t, http.StatusInternalServerError, statusOf(verdict.New(verdict.NotRun, "unheard_of", "text")))
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	failure := verdict.Refuse(verdict.QueueFull, "full").RetryIn(1100 * time.Millisecond)
	require.Equal(t, 2, retryAfter(failure, statusOf(failure)))
}
