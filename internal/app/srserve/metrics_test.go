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
	// nameSuffix replaces the variable part of a metric name on the page.
	nameSuffix = "NAME"
)

// metricRow matches a row of the page's tables. Its first cell is a metric name.
var metricRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// Every metric in the source must be documented on the page, and every documented
// metric must exist.
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

// metricsOfCode returns the sorted metric names in the source of the system.
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

// metricsOfFile collects the names that are passed to functions called count and to
// the metrics library. Each must be a literal, except inside a count function.
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

// firstString returns the first argument that is a string literal. For a literal
// followed by a variable part it returns the literal and nameSuffix.
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
