package decision_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

const (
	root           = "../.."
	widestPolicy   = 110 // characters of a line
	policyTabWidth = 4
)

// policyFiles are those that the platform counts as the decision module.
func policyFiles(t *testing.T) []string {
	var balancer struct{ Policy []string }
	_, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &balancer)
	require.NoError(t, err)
	require.NotEmpty(t, balancer.Policy)
	return balancer.Policy
}

func TestPolicyFilesKeepTheLineWidth(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join(root, name))
		require.NoError(t, err)
		for i, l := range strings.Split(string(text), "\n") {
			wide := strings.ReplaceAll(l, "\t", strings.Repeat(" ", policyTabWidth))
			if n := utf8.RuneCountInString(wide); n > widestPolicy {
				t.Errorf("%s:%d: %d characters, at most %d", name, i+1, n, widestPolicy)
			}
		}
	}
	text, err := os.ReadFile("policy.go")
	require.NoError(t, err)
	if head := strings.Join(strings.Split(string(text), "\n")[:6], "\n"); !strings.Contains(head, "api.go") {
		t.Error("policy.go does not name api.go at its top")
	}
}

// No file of the module decides without being counted.
func TestAllFilesOfTheModuleAreNamedAsPolicy(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	named := policyFiles(t)
	for _, f := range files {
		if f != "api.go" && !strings.HasSuffix(f, "_test.go") && !slices.Contains(named, "internal/decision/"+f) {
			t.Errorf("%s is not among policy in deploy/balancer.toml", f)
		}
	}
}
