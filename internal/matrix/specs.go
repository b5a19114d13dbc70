package matrix

import (
	"go/ast"
	"go/build/constraint"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Specs holds the full names of the tests of one package, as ginkgo prints them: the texts of all
// containers and of the spec, joined by spaces. Plain test functions have their own names. A table
// of specs has its own name in addition to the names of its entries.
type Specs map[string]bool

// SpecsOf reads the test files of a folder. It excludes tests that `go test` does not always run:
// pending specs, containers and functions that call Skip, files with a build constraint, and tables
// without entries.
//
// If a file can't be read or parsed, SpecsOf returns an error.
func SpecsOf(folder string) (Specs, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		return nil, errors.Wrapf(err, "matrix: list %s", folder)
	}
	specs := Specs{}
	for _, file := range files {
		if err := specs.addFile(file); err != nil {
			return nil, err
		}
	}
	return specs, nil
}

func (s Specs) addFile(name string) error {
	source, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrapf(err, "matrix: read %s", name)
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.ParseComments)
	if err != nil {
		return errors.Wrapf(err, "matrix: parse %s", name)
	}
	if hasBuildConstraint(file) {
		return nil
	}
	for _, declared := range file.Decls {
		switch declared := declared.(type) {
		case *ast.FuncDecl:
			if declared.Recv == nil && strings.HasPrefix(declared.Name.Name, "Test") && !callsSkip(declared) {
				s[declared.Name.Name] = true
			}
		case *ast.GenDecl:
			s.addNodes(declared, "")
		}
	}
	return nil
}

// addNodes adds the specs below a node. prefix is the joined text of the containers around it.
func (s Specs) addNodes(root ast.Node, prefix string) {
	ast.Inspect(root, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		if isPending(call) {
			return false
		}
		text, ok := textOf(call)
		if !ok {
			return true
		}
		name := strings.TrimPrefix(prefix+" "+text, " ")
		if callsSkip(call) {
			return false
		}
		switch calledName(call) {
		case "Describe", "Context", "When":
			s.addArguments(call, name)
			return false
		case "DescribeTable":
			before := len(s)
			s.addArguments(call, name)
			if len(s) > before {
				s[name] = true
			}
			return false
		case "It", "Specify", "Entry":
			s[name] = true
			return false
		}
		return true
	})
}

func (s Specs) addArguments(call *ast.CallExpr, prefix string) {
	for _, argument := range call.Args[1:] {
		s.addNodes(argument, prefix)
	}
}

// textOf returns the first argument of a call if it is a string literal.
func textOf(call *ast.CallExpr) (string, bool) {
	if len(call.Args) == 0 {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// calledName returns the name of the called function, without its package.
func calledName(call *ast.CallExpr) string {
	switch called := call.Fun.(type) {
	case *ast.Ident:
		return called.Name
	case *ast.SelectorExpr:
		return called.Sel.Name
	}
	return ""
}

// isPending reports whether a ginkgo node is marked as pending, by its function name or by a
// decorator.
func isPending(call *ast.CallExpr) bool {
	for _, argument := range call.Args {
		if named, ok := argument.(*ast.Ident); ok && named.Name == "Pending" {
			return true
		}
	}
	switch calledName(call) {
	case "PDescribe", "PContext", "PWhen", "PDescribeTable", "PIt", "PSpecify", "PEntry",
		"XDescribe", "XContext", "XWhen", "XDescribeTable", "XIt", "XSpecify", "XEntry":
		return true
	}
	return false
}

func hasBuildConstraint(file *ast.File) bool {
	for _, group := range file.Comments {
		for _, comment := range group.List {
			if constraint.IsGoBuild(comment.Text) || constraint.IsPlusBuild(comment.Text) {
				return true
			}
		}
	}
	return false
}

// callsSkip reports whether a function or ginkgo node calls Skip, directly or in its setup. Specs
// and containers inside it are checked separately.
func callsSkip(root ast.Node) bool {
	found := false
	ast.Inspect(root, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return !found
		}
		switch calledName(call) {
		case "Skip", "Skipf", "SkipNow":
			found = true
		case "Describe", "Context", "When", "DescribeTable", "It", "Specify", "Entry":
			return node == root
		}
		return !found
	})
	return found
}
