package decision_test

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestModuleStaysSmall(t *testing.T) {
	text, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, l := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(l) != "" {
			lines++
		}
		if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 110 {
			t.Errorf("policy.go:%d: %d characters, at most 110", i+1, n)
		}
	}
	if lines > 941 {
		t.Errorf("policy.go has %d lines that are not blank, at most 941", lines)
	}
	if head := strings.Join(strings.Split(string(text), "\n")[:6], "\n"); !strings.Contains(head, "api.go") {
		t.Error("policy.go does not name api.go at its top")
	}
}
