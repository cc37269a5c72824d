// Package refusals checks that docs/REFUSALS.md lists every function that can return
// the verdict not_run, together with the reason and the test.
package refusals

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"

	"github.com/stretchr/testify/require"
)

// moduleRoot is the path of the module's root directory relative to this package.
const moduleRoot = "../.."

// anyReason marks a refusal whose reason is not a constant at the call.
const anyReason = "any"

// forEachGoFile calls visit with the path of each Go file below internal.
func forEachGoFile(t *testing.T, visit func(path string)) {
	err := filepath.WalkDir(filepath.Join(moduleRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") {
			visit(path)
		}
		return err
	})
	require.NoError(t, err)
}

// refusals returns the set of "package.function reason" for all refusals in the code.
func refusals(t *testing.T) map[string]bool {
	found := map[string]bool{}
	forEachGoFile(t, func(path string) {
		dir := filepath.Base(filepath.Dir(path))
		if strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/fake/") || dir == "verdict" {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				for _, reason := range reasons(function) {
					found[dir+"."+function.Name.Name+" "+reason] = true
				}
			}
		}
	})
	return found
}

// reasons returns the reason of each refusal in a function. A refusal is a use of
// verdict.Refuse, or of verdict.NotRun other than in a comparison.
func reasons(function *ast.FuncDecl) []string {
	var found []string
	reasonAfter := map[ast.Expr]string{}
	compared := map[ast.Expr]bool{}
	ast.Inspect(function, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.BinaryExpr:
			compared[x.X], compared[x.Y] = true, true
		case *ast.CallExpr:
			if verdictMember(x.Fun) == "Is" {
				compared[x.Args[1]] = true
			}
			for i, argument := range append([]ast.Expr{x.Fun}, x.Args...) {
				if i < len(x.Args) {
					reasonAfter[argument] = snakeCase(verdictMember(x.Args[i]))
				}
			}
		case *ast.SelectorExpr:
			name := verdictMember(x)
			if (name == "Refuse" || name == "NotRun") && !compared[x] {
				reason := reasonAfter[x]
				if reason == "" {
					reason = anyReason
				}
				found = append(found, reason)
			}
		}
		return true
	})
	return found
}

// verdictMember returns the name that e selects from package verdict, or "".
func verdictMember(e ast.Expr) string {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := selector.X.(*ast.Ident); !ok || pkg.Name != "verdict" {
		return ""
	}
	return selector.Sel.Name
}

// snakeCase converts the Go name of a reason to its text on the wire.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// tableRow matches a row of the table: function, reason, why nothing was sent, test.
var tableRow = regexp.MustCompile("(?m)^\\| `([a-z]+\\.\\w+)` \\| `?(\\w+)`? \\| [^|]+ \\| (`Test\\w+`|none: [^|]+) \\|$")

// difference returns the members of all that are not in others.
func difference(all, others map[string]bool) []string {
	var rest []string
	for member := range all {
		if !others[member] {
			rest = append(rest, member)
		}
	}
	return rest
}

// TestEveryRefusalIsListedWithItsTest also checks that the tests named in the table exist.
func TestEveryRefusalIsListedWithItsTest(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, "docs/REFUSALS.md"))
	require.NoError(t, err)
	var tests strings.Builder
	forEachGoFile(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			tests.Write(content)
		}
	})
	listed := map[string]bool{}
	for _, match := range tableRow.FindAllStringSubmatch(string(page), -1) {
		listed[match[1]+" "+match[2]] = true
		if name := strings.Trim(match[3], "`"); !strings.HasPrefix(name, "none: ") {
			require.Contains(t, tests.String(), "func "+name+"(")
		}
	}
	found := refusals(t)
	require.Empty(t, difference(found, listed), "refusals that docs/REFUSALS.md does not list")
	require.Empty(t, difference(listed, found), "rows of docs/REFUSALS.md without a refusal in the code")
}
