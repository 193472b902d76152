// Package docs_test holds the pages of this folder against the code that they describe.
package docs_test

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
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root   = ".."
	module = "mothrouter/"
)

// deciders are the packages that decide. They do no I/O and import no driver, directly or through others.
var deciders = []string{
	"internal/decision", "internal/completeness", "internal/backoff", "internal/drain",
	"internal/estimate/clientpatience", "internal/estimate/failures", "internal/estimate/queueing",
	"internal/estimate/retrybudget", "internal/estimate/serverstats", "internal/estimate/servicetime",
	"internal/estimate/slowstart",
	"internal/collections/lazyheap", "internal/collections/median", "internal/collections/recent",
	"internal/collections/replicasets",
	"internal/endpoints/listwatch",
	"internal/cluster/membership",
	"internal/controlplane/consensus", "internal/controlplane/distribution", "internal/controlplane/revision",
	"internal/state/recovery", "internal/state/snapshot",
	"internal/workers/lease", "internal/workers/observations", "internal/workers/placement",
}

// drivers are the packages with sockets, files, goroutines or the clock.
var drivers = []string{
	"internal/admin", "internal/assembly", "internal/broker",
	"internal/cluster/fleet",
	"internal/controlplane/configfollower", "internal/controlplane/confighub", "internal/controlplane/controlserver",
	"internal/controlplane/operatorclient", "internal/controlplane/raftlog",
	"internal/endpoints/discovery",
	"internal/state/checkpoint",
	"internal/transport/flight", "internal/transport/front", "internal/transport/upstream",
	"internal/workers/cores",
}

// source is what the Go files outside tests declare.
type source struct {
	folders  map[string]bool            // paths from the root, and their last elements
	members  map[string]map[string]bool // by package or type name: what it declares, fields and methods included
	imports  map[string][]string        // by folder
	commands map[string]bool            // subcommands of the programs
}

func readSource(t *testing.T) *source {
	s := &source{
		folders:  map[string]bool{},
		members:  map[string]map[string]bool{},
		imports:  map[string][]string{},
		commands: map[string]bool{},
	}
	parseGoFiles(t, func(path string) bool { return !strings.HasSuffix(path, "_test.go") }, s.readFile)
	return s
}

// parseGoFiles parses the Go files of the programs and packages that are wanted, by path, and hands each to visit with its
// folder.
func parseGoFiles(t *testing.T, wanted func(path string) bool, visit func(folder string, file *ast.File)) {
	t.Helper()
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || !wanted(path) {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			folder, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			visit(folder, file)
			return nil
		})
		require.NoError(t, err)
	}
}

func (s *source) readFile(folder string, file *ast.File) {
	for f := folder; f != "."; f = filepath.Dir(f) {
		s.folders[f] = true
		s.folders[filepath.Base(f)] = true
		s.folders[strings.TrimPrefix(f, "internal/")] = true
	}
	for _, spec := range file.Imports {
		s.imports[folder] = append(s.imports[folder], strings.Trim(spec.Path.Value, `"`))
	}
	ast.Inspect(file, func(node ast.Node) bool {
		s.readNode(file.Name.Name, node)
		return true
	})
}

func (s *source) declare(owner, name string) {
	if s.members[owner] == nil {
		s.members[owner] = map[string]bool{}
	}
	s.members[owner][name] = true
}

func (s *source) readNode(pkg string, node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		s.declare(pkg, n.Name.Name)
		if n.Recv != nil {
			s.declare(receiver(n.Recv.List[0].Type), n.Name.Name)
		}
	case *ast.TypeSpec:
		s.declare(pkg, n.Name.Name)
		if t, ok := n.Type.(*ast.StructType); ok {
			s.declareFields(n.Name.Name, t.Fields)
		}
		if t, ok := n.Type.(*ast.InterfaceType); ok {
			s.declareFields(n.Name.Name, t.Methods)
		}
	case *ast.ValueSpec:
		for _, name := range n.Names {
			s.declare(pkg, name.Name)
		}
	case *ast.KeyValueExpr:
		key, _ := n.Key.(*ast.Ident)
		value, _ := n.Value.(*ast.BasicLit)
		if key != nil && value != nil && key.Name == "Use" {
			s.commands[strings.Fields(strings.Trim(value.Value, `"`))[0]] = true
		}
	}
}

func (s *source) declareFields(owner string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, name := range field.Names {
			s.declare(owner, name.Name)
		}
	}
}

// receiver returns the name of a receiver's type.
func receiver(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.StarExpr:
		return receiver(t.X)
	case *ast.IndexExpr:
		return receiver(t.X)
	case *ast.Ident:
		return t.Name
	}
	return ""
}

// resolves reports whether a name in backticks stands for something in the code: a folder, a subcommand, a declared name,
// or a chain of those such as package.Type.Method.
func (s *source) resolves(name string) bool {
	if s.folders[strings.TrimSuffix(name, "/")] || s.commands[name] {
		return true
	}
	if words := strings.Fields(name); len(words) == 2 {
		return s.folders[words[0]] && s.commands[words[1]]
	}
	chain := strings.Split(strings.TrimSuffix(name, "()"), ".")
	if len(chain) == 1 {
		for _, members := range s.members {
			if members[name] {
				return true
			}
		}
		return false
	}
	for i := range chain[1:] {
		if !s.members[chain[i]][chain[i+1]] {
			return false
		}
	}
	return true
}

// codeSpan is a name in backticks within a line.
var codeSpan = regexp.MustCompile("`([^`\n]+)`")

func TestArchitectureNamesResolve(t *testing.T) {
	s := readSource(t)
	require.True(t, s.resolves("broker.Broker.Submit"))
	require.False(t, s.resolves("broker.Broker.NoSuchMethod"), "an unknown name must not resolve")
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	spans := codeSpan.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, spans)
	for _, span := range spans {
		if !s.resolves(span[1]) {
			t.Errorf("architecture.md names `%s`, which the code does not have", span[1])
		}
	}
}

func TestArchitectureIsOnePage(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	require.LessOrEqual(t, strings.Count(string(text), "\n"), 110)
}

func TestDecidersImportNoDriver(t *testing.T) {
	s := readSource(t)
	for _, folder := range append(slices.Clone(deciders), drivers...) {
		require.True(t, s.folders[folder], "%s is not a package", folder)
	}
	for _, folder := range deciders {
		require.NotContains(t, s.imports[folder], "net", folder)
		require.NotContains(t, s.imports[folder], "os", folder)
		for _, reached := range s.reachable(folder) {
			if slices.Contains(drivers, reached) {
				t.Errorf("%s decides and reaches the driver %s", folder, reached)
			}
		}
	}
}

// reachable returns the folders of this module that a folder imports, directly or through others.
func (s *source) reachable(folder string) (reached []string) {
	seen := map[string]bool{}
	var visit func(string)
	visit = func(from string) {
		for _, path := range s.imports[from] {
			to, own := strings.CutPrefix(path, module)
			if !own || seen[to] {
				continue
			}
			seen[to] = true
			reached = append(reached, to)
			visit(to)
		}
	}
	visit(folder)
	return reached
}

// link is a Markdown link to a file of this repository.
var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	pages = append(pages, "../README.md", "../CONTRIBUTING.md", "../CHANGELOG.md", "../deploy/sites/README.md")
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, target := range link.FindAllStringSubmatch(string(text), -1) {
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target[1])); err != nil {
				t.Errorf("%s links to %s, which is not there", page, target[1])
			}
		}
	}
	require.Greater(t, checked, 20)
}

// testName is the name of a test function in a page. Behind -run it may be the beginning of several.
var testName = regexp.MustCompile(`(-run )?\b(Test[A-Z]\w+)`)

func TestNamedTestsExist(t *testing.T) {
	declared := map[string]bool{}
	isTest := func(path string) bool { return strings.HasSuffix(path, "_test.go") }
	parseGoFiles(t, isTest, func(_ string, file *ast.File) {
		for _, declaration := range file.Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok {
				declared[f.Name.Name] = true
			}
		}
	})
	names := slices.Collect(maps.Keys(declared))
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	for _, page := range pages {
		if page == "ROADMAP.md" {
			continue // it names tests of earlier programs
		}
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			name := match[2]
			isPattern := match[1] != ""
			begins := func(test string) bool { return isPattern && strings.HasPrefix(test, name) }
			if !declared[name] && !slices.ContainsFunc(names, begins) {
				t.Errorf("%s names the test %s, which is not there", page, name)
			}
		}
	}
}
