// Package refusals keeps docs/REFUSALS.md in step with the code: each place that
// can give the verdict not_run is listed there with its reason and its test.
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

// moduleRoot is the root of the module, seen from this package.
const moduleRoot = "../.."

// anyReason stands for a reason that is not given at the place itself.
const anyReason = "any"

// eachSource calls visit with each Go file of the module.
func eachSource(t *testing.T, visit func(path string)) {
	err := filepath.WalkDir(filepath.Join(moduleRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") {
			visit(path)
		}
		return err
	})
	require.NoError(t, err)
}

// places returns "package.function reason" for each refusal in the code.
func places(t *testing.T) map[string]bool {
	found := map[string]bool{}
	eachSource(t, func(path string) {
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

// reasons returns the reasons of the refusals in a function: uses of
// verdict.Refuse, and of verdict.NotRun other than in a comparison.
func reasons(function *ast.FuncDecl) []string {
	var found []string
	known := map[ast.Expr]string{}
	compared := map[ast.Expr]bool{}
	ast.Inspect(function, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.BinaryExpr:
			compared[x.X], compared[x.Y] = true, true
		case *ast.CallExpr:
			if constant(x.Fun) == "Is" {
				compared[x.Args[1]] = true
			}
			for i, argument := range append([]ast.Expr{x.Fun}, x.Args...) {
				if i < len(x.Args) {
					known[argument] = snakeCase(constant(x.Args[i]))
				}
			}
		case *ast.SelectorExpr:
			name := constant(x)
			if (name == "Refuse" || name == "NotRun") && !compared[x] {
				reason := known[x]
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

// constant returns the name of a member of package verdict, or "".
func constant(e ast.Expr) string {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if from, ok := selector.X.(*ast.Ident); !ok || from.Name != "verdict" {
		return ""
	}
	return selector.Sel.Name
}

// snakeCase turns the name of a reason into its text.
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

// row is a line of the table: place, reason, why nothing was sent, test.
var row = regexp.MustCompile("(?m)^\\| `([a-z]+\\.\\w+)` \\| `?(\\w+)`? \\| [^|]+ \\| (`Test\\w+`|none: [^|]+) \\|$")

// without returns the members of all that others lacks.
func without(all, others map[string]bool) []string {
	var rest []string
	for member := range all {
		if !others[member] {
			rest = append(rest, member)
		}
	}
	return rest
}

func TestEveryRefusalIsListedWithItsTest(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, "docs/REFUSALS.md"))
	require.NoError(t, err)
	var tests strings.Builder
	eachSource(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			tests.Write(content)
		}
	})
	listed := map[string]bool{}
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		listed[match[1]+" "+match[2]] = true
		if name := strings.Trim(match[3], "`"); !strings.HasPrefix(name, "none: ") {
			require.Contains(t, tests.String(), "func "+name+"(")
		}
	}
	found := places(t)
	require.Empty(t, without(found, listed), "missing in docs/REFUSALS.md")
	require.Empty(t, without(listed, found), "no longer in the code")
}
