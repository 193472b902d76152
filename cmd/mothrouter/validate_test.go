package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDocument = `{"discovery":"127.0.0.1:1","settings":{"peersTotal":3,"classes":[{"name":"c","deadlineS":2,` +
	`"objectiveS":1,"semantics":"free"}],"familyInfo":{"cells":1,"slabs":1},"caps":{"openCap":50}}}`

func TestValidateDocumentReturnsInvalidKey(t *testing.T) {
	for _, test := range []struct{ name, document, newest, key string }{
		{"first revision", validDocument, "", ""},
		{"no change", validDocument, validDocument, ""},
		{"key that may change", strings.Replace(validDocument, `"openCap":50`, `"openCap":60`, 1), validDocument, ""},
		{"key that needs a restart", strings.Replace(validDocument, `"peersTotal":3`, `"peersTotal":4`, 1), validDocument,
			"settings.peersTotal"},
		{"value out of range", strings.Replace(validDocument, `"openCap":50`, `"openCap":-1`, 1), "", "settings.caps.openCap"},
		{"invalid JSON", "{", "", "document"},
		{"newest revision unreadable by this release", validDocument, "{", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			newest := []byte(test.newest)
			if test.newest == "" {
				newest = nil
			}
			rejection := validateDocument([]byte(test.document), newest)
			require.Equal(t, test.key, rejection.GetKey(), rejection.GetReason())
		})
	}
}
