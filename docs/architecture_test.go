// Package docs_test checks that the pages of this folder agree with the code: the names, tests and links on the pages must
// exist, and the packages must follow the rules of the architecture.
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
	root         = ".."          // the repository, from this folder
	modulePrefix = "mothrouter/" // of the import paths of this module
)

// deciders are the packages that make decisions. They do no I/O, and they import no driver, directly or indirectly.
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

// drivers are the packages that use sockets, files, goroutines or the clock.
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

// codeIndex holds the names that the Go files outside tests declare.
type codeIndex struct {
	folders  map[string]bool            // paths relative to the root, also without internal/, and their last elements
	members  map[string]map[string]bool // by package or type name: the names declared in it, fields and methods included
	imports  map[string][]string        // import paths by folder
	commands map[string]bool            // names of the programs' subcommands
}

// readCode indexes the Go files of all programs and packages.
func readCode(t *testing.T) *codeIndex {
	index := &codeIndex{
		folders:  map[string]bool{},
		members:  map[string]map[string]bool{},
		imports:  map[string][]string{},
		commands: map[string]bool{},
	}
	parseGoFiles(t, func(path string) bool { return !strings.HasSuffix(path, "_test.go") }, index.addFile)
	return index
}

// parseGoFiles parses the Go files of the programs and packages whose path include accepts, and calls visit with each file and
// its folder.
func parseGoFiles(t *testing.T, include func(path string) bool, visit func(folder string, file *ast.File)) {
	t.Helper()
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || !include(path) {
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

// addFile adds the folder, imports and declarations of a file.
func (c *codeIndex) addFile(folder string, file *ast.File) {
	for parent := folder; parent != "."; parent = filepath.Dir(parent) {
		c.folders[parent] = true
		c.folders[filepath.Base(parent)] = true
		c.folders[strings.TrimPrefix(parent, "internal/")] = true
	}
	for _, spec := range file.Imports {
		c.imports[folder] = append(c.imports[folder], strings.Trim(spec.Path.Value, `"`))
	}
	ast.Inspect(file, func(node ast.Node) bool {
		c.addNode(file.Name.Name, node)
		return true
	})
}

// addMember adds a name that a package or type declares.
func (c *codeIndex) addMember(owner, name string) {
	if c.members[owner] == nil {
		c.members[owner] = map[string]bool{}
	}
	c.members[owner][name] = true
}

// addNode adds the names that a node declares. A field Use with a string literal is taken as the usage line of a subcommand.
func (c *codeIndex) addNode(pkg string, node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		c.addMember(pkg, n.Name.Name)
		if n.Recv != nil {
			c.addMember(receiverType(n.Recv.List[0].Type), n.Name.Name)
		}
	case *ast.TypeSpec:
		c.addMember(pkg, n.Name.Name)
		if t, ok := n.Type.(*ast.StructType); ok {
			c.addFields(n.Name.Name, t.Fields)
		}
		if t, ok := n.Type.(*ast.InterfaceType); ok {
			c.addFields(n.Name.Name, t.Methods)
		}
	case *ast.ValueSpec:
		for _, name := range n.Names {
			c.addMember(pkg, name.Name)
		}
	case *ast.KeyValueExpr:
		key, _ := n.Key.(*ast.Ident)
		value, _ := n.Value.(*ast.BasicLit)
		if key != nil && value != nil && key.Name == "Use" {
			c.commands[strings.Fields(strings.Trim(value.Value, `"`))[0]] = true
		}
	}
}

// addFields adds the names of a type's fields or methods.
func (c *codeIndex) addFields(owner string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, name := range field.Names {
			c.addMember(owner, name.Name)
		}
	}
}

// receiverType returns the name of a receiver's type, without pointers and type parameters.
func receiverType(expr ast.Expr) string {
	switch t := expr.(type) {
	case *ast.StarExpr:
		return receiverType(t.X)
	case *ast.IndexExpr:
		return receiverType(t.X)
	case *ast.Ident:
		return t.Name
	}
	return ""
}

// resolves reports whether a code span names something that exists in the code: a folder, a subcommand, a declared name, or a
// qualified name such as package.Type.Method.
func (c *codeIndex) resolves(name string) bool {
	if c.folders[strings.TrimSuffix(name, "/")] || c.commands[name] {
		return true
	}
	if words := strings.Fields(name); len(words) == 2 {
		return c.folders[words[0]] && c.commands[words[1]]
	}
	elements := strings.Split(strings.TrimSuffix(name, "()"), ".")
	if len(elements) == 1 {
		for _, members := range c.members {
			if members[name] {
				return true
			}
		}
		return false
	}
	for i := range elements[1:] {
		if !c.members[elements[i]][elements[i+1]] {
			return false
		}
	}
	return true
}

// codeSpanPattern matches a Markdown code span, which is text in backticks within a line.
var codeSpanPattern = regexp.MustCompile("`([^`\n]+)`")

func TestArchitectureNamesResolve(t *testing.T) {
	code := readCode(t)
	require.True(t, code.resolves("broker.Broker.Submit"))
	require.False(t, code.resolves("broker.Broker.NoSuchMethod"), "an unknown name must not resolve")
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	spans := codeSpanPattern.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, spans)
	for _, span := range spans {
		if !code.resolves(span[1]) {
			t.Errorf("architecture.md names `%s`, which does not exist in the code", span[1])
		}
	}
}

func TestArchitectureIsOnePage(t *testing.T) {
	const maxLines = 110
	text, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	require.LessOrEqual(t, strings.Count(string(text), "\n"), maxLines)
}

func TestDecidersImportNoDriver(t *testing.T) {
	code := readCode(t)
	for _, folder := range append(slices.Clone(deciders), drivers...) {
		require.True(t, code.folders[folder], "package %s does not exist", folder)
	}
	for _, folder := range deciders {
		require.NotContains(t, code.imports[folder], "net", folder)
		require.NotContains(t, code.imports[folder], "os", folder)
		for _, dependency := range code.dependencies(folder) {
			if slices.Contains(drivers, dependency) {
				t.Errorf("decider %s imports driver %s, directly or indirectly", folder, dependency)
			}
		}
	}
}

// dependencies returns the folders of this module that a folder imports, directly or indirectly.
func (c *codeIndex) dependencies(folder string) (list []string) {
	seen := map[string]bool{}
	var visit func(string)
	visit = func(importer string) {
		for _, path := range c.imports[importer] {
			imported, inModule := strings.CutPrefix(path, modulePrefix)
			if !inModule || seen[imported] {
				continue
			}
			seen[imported] = true
			list = append(list, imported)
			visit(imported)
		}
	}
	visit(folder)
	return list
}

// linkPattern matches a Markdown link to a file of this repository.
var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	pages = append(pages, "../README.md", "../CONTRIBUTING.md", "../CHANGELOG.md", "../deploy/sites/README.md")
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, target := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target[1])); err != nil {
				t.Errorf("%s links to %s, which cannot be found: %v", page, target[1], err)
			}
		}
	}
	require.Greater(t, checked, 20, "too few links found on the pages")
}

// testNamePattern matches the name of a test function on a page. After -run it may be a prefix of several names.
var testNamePattern = regexp.MustCompile(`(-run )?\b(Test[A-Z]\w+)`)

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
			continue // it names tests of earlier programs, which no longer exist
		}
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range testNamePattern.FindAllStringSubmatch(string(text), -1) {
			name := match[2]
			isPattern := match[1] != ""
			matches := func(test string) bool { return isPattern && strings.HasPrefix(test, name) }
			if !declared[name] && !slices.ContainsFunc(names, matches) {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
	}
}
