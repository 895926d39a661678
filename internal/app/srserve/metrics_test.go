package srserve

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	metricsPage   = "../../../docs/METRICS.md"
	metricsImport = "github.com/rcrowley/go-metrics"
	// nameSuffix stands in the page for the part of a name that varies.
	nameSuffix = "NAME"
)

// metricRow is a row of the page's tables: its first cell holds the metric.
var metricRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

func TestMetricsPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	var listed []string
	for _, row := range metricRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, row[1])
	}
	slices.Sort(listed)
	assert.DeepEqual(t, listed, metricsOfCode(t))
}

// metricsOfCode returns the metric names in the source of the system, sorted.
func metricsOfCode(t *testing.T) []string {
	t.Helper()
	names := make(map[string]bool)
	files := token.NewFileSet()
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil || strings.Contains(filepath.ToSlash(path), "/proof/") {
			return err
		}
		inApp := strings.HasPrefix(filepath.ToSlash(path), "../../app/")
		assert.Assert(t, inApp || !importsMetrics(file), "%s uses metrics outside internal/app", path)
		if inApp {
			metricsOfFile(t, files, file, names)
		}
		return nil
	})
	assert.NilError(t, err)
	return slices.Sorted(maps.Keys(names))
}

func importsMetrics(file *ast.File) bool {
	return slices.ContainsFunc(file.Imports, func(i *ast.ImportSpec) bool {
		return i.Path.Value == strconv.Quote(metricsImport)
	})
}

// metricsOfFile collects the names given to the count functions and to the
// metrics library. Only a count function may pass a name on.
func metricsOfFile(t *testing.T, files *token.FileSet, file *ast.File, names map[string]bool) {
	t.Helper()
	for _, decl := range file.Decls {
		f, isFunc := decl.(*ast.FuncDecl)
		if isFunc && f.Name.Name == "count" {
			continue
		}
		ast.Inspect(decl, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || !makesMetric(call.Fun) {
				return true
			}
			name, ok := firstString(call.Args)
			assert.Assert(t, ok, "%s: the name of the metric is not a literal", files.Position(call.Pos()))
			names[name] = true
			return true
		})
	}
}

func makesMetric(fun ast.Expr) bool {
	switch f := fun.(type) {
	case *ast.Ident:
		return f.Name == "count"
	case *ast.SelectorExpr:
		x, ok := f.X.(*ast.Ident)
		fromLibrary := ok && x.Name == "metrics" && strings.Contains(f.Sel.Name, "Regist") && f.Sel.Name != "NewRegistry"
		return f.Sel.Name == "count" || fromLibrary
	}
	return false
}

// firstString returns the first argument that is a string literal, or one
// followed by what varies.
func firstString(args []ast.Expr) (string, bool) {
	for _, a := range args {
		if sum, ok := a.(*ast.BinaryExpr); ok {
			prefix, ok := firstString([]ast.Expr{sum.X})
			return prefix + nameSuffix, ok
		}
		lit, ok := a.(*ast.BasicLit)
		if ok && lit.Kind == token.STRING {
			name, err := strconv.Unquote(lit.Value)
			return name, err == nil
		}
	}
	return "", false
}
