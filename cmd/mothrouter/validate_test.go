package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDocument = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":1,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`

func TestValidateDocumentReturnsInvalidKey(t *testing.T) {
	for _, c := range []struct{ name, document, newest, key string }{
		{"the first", validDocument, "", ""},
		{"the same", validDocument, validDocument, ""},
		{"what may change", strings.Replace(validDocument, `"openCap":50`, `"openCap":60`, 1), validDocument, ""},
		{"what needs a restart", strings.Replace(validDocument, `"peersTotal":3`, `"peersTotal":4`, 1), validDocument,
			"settings.peersTotal"},
		{"what may not be", strings.Replace(validDocument, `"openCap":50`, `"openCap":-1`, 1), "", "settings.caps.openCap"},
		{"no JSON", "{", "", "document"},
		{"after one that this release cannot read", validDocument, "{", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			newest := []byte(c.newest)
			if c.newest == "" {
				newest = nil
			}
			refusal := validateDocument([]byte(c.document), newest)
			require.Equal(t, c.key, refusal.GetKey(), refusal.GetReason())
		})
	}
}
