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
	repositoryRoot  = "../.."
	policyLineWidth = 110 // maximum number of characters in a line of a policy file
	policyTabWidth  = 4
)

// policyFiles returns the files that deploy/balancer.toml declares as the decision module.
func policyFiles(t *testing.T) []string {
	var balancer struct{ Policy []string }
	_, err := toml.DecodeFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"), &balancer)
	require.NoError(t, err)
	require.NotEmpty(t, balancer.Policy)
	return balancer.Policy
}

func TestPolicyFilesKeepLineWidth(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
		require.NoError(t, err)
		for i, line := range strings.Split(string(text), "\n") {
			expanded := strings.ReplaceAll(line, "\t", strings.Repeat(" ", policyTabWidth))
			if n := utf8.RuneCountInString(expanded); n > policyLineWidth {
				t.Errorf("%s:%d: line of %d characters, want at most %d", name, i+1, n, policyLineWidth)
			}
		}
	}
	text, err := os.ReadFile("policy.go")
	require.NoError(t, err)
	if head := strings.Join(strings.Split(string(text), "\n")[:6], "\n"); !strings.Contains(head, "api.go") {
		t.Errorf("policy.go does not refer to api.go in its first 6 lines:\n%s", head)
	}
}

// Every file of the package except api.go and tests must be declared as part of the decision module.
func TestAllDecisionFilesAreDeclaredAsPolicy(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	declared := policyFiles(t)
	for _, name := range files {
		if name != "api.go" && !strings.HasSuffix(name, "_test.go") && !slices.Contains(declared, "internal/decision/"+name) {
			t.Errorf("%s is not listed under \"policy\" in deploy/balancer.toml", name)
		}
	}
}
