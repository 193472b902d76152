package config_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/config"
)

// validDocument is a valid document. No broker reads its key settings.site.
const validDocument = `{"discovery":"127.0.0.1:8500","settings":{"site":{"name":"bern","racks":[1,2]},
"classes":[{"name":"c","deadlineS":2,"objectiveS":1,"worth":1,"lateWorth":0.5,"semantics":"free"},
{"name":"d","deadlineS":3,"objectiveS":1,"semantics":"guarded","windowS":2}],
"zones":["a","b"],"machineTypes":["m2"],"caps":{"openCap":9,"sendCap":4},"familyInfo":{"cells":4,"slabs":8}}}`

// parseDocument parses a document that must be valid.
func parseDocument(t *testing.T, text string) *config.Document {
	document, err := config.ParseDocument([]byte(text))
	require.NoError(t, err)
	return document
}

// requireKeyError checks that err is a *config.KeyError for the key.
func requireKeyError(t *testing.T, err error, key string) {
	t.Helper()
	var keyErr *config.KeyError
	require.True(t, errors.As(err, &keyErr), "%v", err)
	require.Equal(t, key, keyErr.Key, keyErr.Reason())
	require.NotEmpty(t, keyErr.Allowed, keyErr.Reason())
}

func TestParseDocumentReadsClassesAndLimit(t *testing.T) {
	d := parseDocument(t, validDocument)
	require.Equal(t, "127.0.0.1:8500", d.Discovery)
	require.Equal(t, 9, d.ConcurrencyLimit)
	require.Equal(t, []float64{1, 2, 1, 0.5}, []float64{d.Classes[0].LatencyObjective, d.Classes[0].Deadline, d.Classes[0].PriorityWeight,
		d.Classes[0].LateValue})
	change := d.Change()
	require.Equal(t, d.Classes, change.Classes)
	require.Equal(t, d.ConcurrencyLimit, change.ConcurrencyLimit)
}

// The document of the startup configuration equals a document with the same discovery address and settings.
func TestConfigDocumentEqualsStartupFile(t *testing.T) {
	for _, test := range []struct {
		env           map[string]string
		wantDiscovery string
	}{{nil, "127.0.0.1:8500"}, {map[string]string{"PROXY_DISCOVERY": "127.0.0.1:9"}, "127.0.0.1:9"}} {
		file := strings.Replace(validDocument, `{"discovery"`, `{"listen":"127.0.0.1:1","discovery"`, 1)
		loaded, err := loadConfig(t, file, test.env)
		require.NoError(t, err)
		startup, err := loaded.Document()
		require.NoError(t, err)
		require.Equal(t, test.wantDiscovery, startup.Discovery)
		require.Equal(t, loaded.Settings.Classes, startup.Classes)
		require.Equal(t, loaded.ConcurrencyLimit, startup.ConcurrencyLimit)
		require.NoError(t, parseDocument(t, validDocument).CheckChangeFrom(startup))
		require.NoError(t, startup.CheckChangeFrom(parseDocument(t, validDocument)))
	}
}

func TestParseDocumentErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ old, new, key string }{
		{validDocument, ``, "document"},
		{validDocument, `null`, "document"},
		{validDocument, `[]`, "document"},
		{validDocument, `"x"`, "document"},
		{validDocument, validDocument + `{}`, "document"},
		{validDocument, validDocument + ` x`, "document"},
		{validDocument, `{"settings":`, "document"},
		{validDocument, validDocument + strings.Repeat(" ", config.MaxDocumentSize), "document"},
		{validDocument, strings.Repeat("[", 9000) + strings.Repeat("]", 9000), "document"},
		{validDocument, strings.Repeat("[", 20000) + strings.Repeat("]", 20000), "document"},
		{`{"discovery":`, `{"listen":"127.0.0.1:1","discovery":`, "listen"},
		{`{"discovery":`, `{"Discovery":`, "Discovery"},
		{`{"discovery":"127.0.0.1:8500",`, `{`, "discovery"},
		{`"127.0.0.1:8500"`, `"x"`, "discovery"},
		{`"127.0.0.1:8500"`, `7`, "discovery"},
		{`"127.0.0.1:8500"`, `"127.0.0.1:1","discovery":"127.0.0.1:2"`, "discovery"},
		{`"127.0.0.1:8500"`, `"127.0.0.1:1","DISCOVERY":"127.0.0.1:2"`, "DISCOVERY"},
		{`"settings":{`, `"odd":{`, "odd"},
		{`{"discovery":`, `{"":1,"discovery":`, "document"},
		{`"127.0.0.1:8500","settings"`, `"127.0.0.1:8500","settings":0,"settings"`, "settings"},
		{`"openCap":9`, `"openCap":9,"openCap":9`, "settings.caps.openCap"},
		{`"openCap":9`, `"openCap":9,"opencap":8`, "settings.caps.opencap"},
		{`"openCap":9`, `"openCap":9,"open\u0043ap":8`, "settings.caps.openCap"},
		{`"sendCap":4`, `"sendCap":4,"ſendCap":4`, "settings.caps.ſendCap"},
		{`"racks":[1,2]`, `"racks":[1,{"a":1,"a":2}]`, "settings.site.racks[1].a"},
		{`"name":"d"`, `"name":"d","worth":1,"worth":2`, "settings.classes[1].worth"},
		{`"openCap":9`, `"openCap":-9`, "settings.caps.openCap"},
		{`"openCap":9`, `"openCap":9.5`, "settings.caps.openCap"},
		{`"deadlineS":3`, `"deadlineS":0`, "settings.classes[1].deadlineS"},
		{`"deadlineS":3`, `"deadlineS":1e7`, "settings.classes[1].deadlineS"},
		{`"deadlineS":3`, `"deadlineS":1e999`, "settings.classes.deadlineS"},
		{`"deadlineS":3`, `"deadlineS":NaN`, "document"},
		{`"objectiveS":1,"worth"`, `"objectiveS":-1,"worth"`, "settings.classes[0].objectiveS"},
		{`"name":"d"`, `"name":"c"`, "settings.classes[1].name"},
		{`"semantics":"guarded"`, `"semantics":"odd"`, "settings.classes[1].semantics"},
		{`"cells":4`, `"cells":0`, "settings.familyInfo.cells"},
	} {
		require.Contains(t, validDocument, test.old)
		_, err := config.ParseDocument([]byte(strings.Replace(validDocument, test.old, test.new, 1)))
		require.Error(t, err, test.new)
		requireKeyError(t, err, test.key)
	}
}

// Keys that can change without a restart may change in any way, and back. The error for any other changed key names it.
func TestCheckChangeFromNamesTheKey(t *testing.T) {
	for _, test := range []struct{ old, new, key string }{
		{validDocument, validDocument, ""},
		{`"127.0.0.1:8500"`, `"127.0.0.1:8501"`, ""},
		{`"openCap":9`, `"openCap":0`, ""},
		{`"openCap":9,`, ``, ""},
		{`"deadlineS":2,"objectiveS":1,"worth":1,"lateWorth":0.5`,
			`"deadlineS":4,"objectiveS":3,"worth":2,"lateWorth":0`, ""},
		{`"deadlineS":2,"objectiveS":1,"worth":1,"lateWorth":0.5`, `"deadlineS":4`, ""},
		{`"deadlineS":3,"objectiveS":1`, `"deadlineS":3,"objectiveS":1,"worth":7,"lateWorth":0.1`, ""},
		{`"windowS":2`, `"windowS":2.0`, ""},
		{`"windowS":2`, `"windowS":20e-1`, ""},
		{`"racks":[1,2]`, "\"racks\" : [ 1,\n2 ]", ""},

		{`"name":"d"`, `"name":"e"`, "settings.classes[1].name"},
		{`"semantics":"guarded"`, `"semantics":"free"`, "settings.classes[1].semantics"},
		{`"semantics":"guarded",`, ``, "settings.classes[1].semantics"},
		{`"windowS":2`, `"windowS":3`, "settings.classes[1].windowS"},
		{`"windowS":2`, `"windowS":2,"aimStretch":1`, "settings.classes[1].aimStretch"},
		{`"windowS":2}`, `"windowS":2},{"name":"e","deadlineS":1}`, "settings.classes"},
		{`"cells":4`, `"cells":5`, "settings.familyInfo.cells"},
		{`"familyInfo":{"cells":4,`, `"familyInfo":{"cells":4,"classFloor":[1],`, "settings.familyInfo.classFloor"},
		{`"sendCap":4`, `"sendCap":5`, "settings.caps.sendCap"},
		{`"zones":["a","b"]`, `"zones":["b","a"]`, "settings.zones[0]"},
		{`"zones":["a","b"]`, `"zones":["a","b","c"]`, "settings.zones"},
		{`"zones":["a","b"]`, `"zones":null`, "settings.zones"},
		{`"racks":[1,2]`, `"racks":[1,3]`, "settings.site.racks[1]"},
		{`"racks":[1,2]`, `"racks":{"1":2}`, "settings.site.racks"},
		{`"racks":[1,2]`, `"racks":[1,"2"]`, "settings.site.racks[1]"},
		{`"racks":[1,2]`, `"racks":[1,2],"unread":true`, "settings.site.unread"},
		{`{"name":"bern","racks":[1,2]}`, `null`, "settings.site"},
		{`"site":{"name":"bern","racks":[1,2]},`, ``, "settings.site"},
	} {
		require.Contains(t, validDocument, test.old)
		before, after := parseDocument(t, validDocument), parseDocument(t, strings.Replace(validDocument, test.old, test.new, 1))
		for _, err := range []error{after.CheckChangeFrom(before), before.CheckChangeFrom(after)} {
			if test.key == "" {
				require.NoError(t, err, test.new)
			} else {
				requireKeyError(t, err, test.key)
			}
		}
	}
	// 2^53+1 and 2^53 have the same float64.
	odd := strings.Replace(validDocument, `[1,2]`, `[9007199254740993]`, 1)
	even := strings.Replace(validDocument, `[1,2]`, `[9007199254740992]`, 1)
	requireKeyError(t, parseDocument(t, even).CheckChangeFrom(parseDocument(t, odd)), "settings.site.racks[0]")
}

// If several keys differ, the error names the first in sorted order, whatever their order in the text.
func TestCheckChangeFromNamesTheFirstKey(t *testing.T) {
	changed := strings.NewReplacer(`"cells":4`, `"cells":5`, `"sendCap":4`, `"sendCap":5`, `"windowS":2`, `"windowS":3`).
		Replace(validDocument)
	for range 20 {
		requireKeyError(t, parseDocument(t, changed).CheckChangeFrom(parseDocument(t, validDocument)), "settings.caps.sendCap")
	}
}

// loadAsFile loads a file for PROXY_CONFIG that has the top-level keys of a document.
func loadAsFile(t testing.TB, document map[string]any) (*config.Config, error) {
	file := map[string]any{"listen": "127.0.0.1:1"}
	for key, value := range document {
		file[key] = value
	}
	text, err := json.Marshal(file)
	require.NoError(t, err)
	path := tempFile(t, string(text))
	return config.Load(func(key string) string { return map[string]string{"PROXY_CONFIG": path}[key] })
}

// A valid document also loads as part of a file, with the same classes, concurrency limit and discovery address. Conversely,
// the discovery address and settings of a file that loads are a valid document, unless they are too large or have duplicate
// keys.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	for _, replacement := range [][2]string{
		{`"deadlineS":3`, `"deadlineS":-3`}, {`"openCap":9`, `"openCap":null`}, {`"c"`, `"d"`},
		{`"zones"`, `"zones":[],"zones"`}, {`"cells":4`, `"cells":4.5`},
		{`"site":{`, `"report":{"how":"pull"},"site":{`},
		{`"sendCap":4`, `"sendCap":4,"secondCopies":true`}, {`127.0.0.1:8500`, `\ud800:1`}} {
		f.Add([]byte(strings.Replace(validDocument, replacement[0], replacement[1], 1)))
	}
	f.Add([]byte(`{"":{"":{"":0,"":0}}}`))
	startup, err := config.ParseDocument([]byte(validDocument))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, text []byte) {
		document, parseErr := config.ParseDocument(text)
		var keyErr *config.KeyError
		if parseErr != nil && (!errors.As(parseErr, &keyErr) || keyErr.Key == "") {
			t.Fatalf("the error %v names no key", parseErr)
		}
		var tree map[string]any
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		if decoder.Decode(&tree) != nil {
			require.Error(t, parseErr)
			return
		}
		if parseErr == nil {
			require.NoError(t, document.CheckChangeFrom(document))
			if changeErr := document.CheckChangeFrom(startup); changeErr == nil {
				require.Len(t, document.Classes, len(startup.Classes))
				require.NoError(t, startup.CheckChangeFrom(document))
			}
		}
		canonical := map[string]any{"discovery": tree["discovery"], "settings": tree["settings"]}
		loaded, loadErr := loadAsFile(t, canonical)
		if parseErr == nil {
			require.NoError(t, loadErr)
			require.Equal(t, fmt.Sprint(loaded.Settings.Classes), fmt.Sprint(document.Classes))
			require.Equal(t, loaded.ConcurrencyLimit, document.ConcurrencyLimit)
			require.Equal(t, loaded.Discovery, document.Discovery)
			return
		}
		if loadErr == nil && len(tree) == len(canonical) && !hasDuplicateKey(canonical) {
			encoded, err := json.Marshal(canonical)
			require.NoError(t, err)
			if len(encoded) <= config.MaxDocumentSize {
				_, err = config.ParseDocument(encoded)
				require.NoError(t, err)
			}
		}
	})
}

// hasDuplicateKey reports whether two keys of any object in the tree differ only in the case of their letters.
func hasDuplicateKey(tree any) bool {
	switch tree := tree.(type) {
	case map[string]any:
		for a, value := range tree {
			for b := range tree {
				if a != b && strings.EqualFold(a, b) {
					return true
				}
			}
			if hasDuplicateKey(value) {
				return true
			}
		}
	case []any:
		for _, value := range tree {
			if hasDuplicateKey(value) {
				return true
			}
		}
	}
	return false
}

// The error for a changed key shows the value at startup and the new value.
func TestCheckChangeFromErrorShowsBothValues(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"sendCap":4`, `"sendCap":5`, "settings.caps.sendCap: 5 not allowed, want 4 until a restart"},
		{`"name":"d"`, `"name":"e"`, `settings.classes[1].name: "e" not allowed, want "d" until a restart`},
		{`"semantics":"guarded",`, ``, `settings.classes[1].semantics: missing, want "guarded" until a restart`},
		{`"windowS":2`, `"windowS":2,"aimStretch":1`, "settings.classes[1].aimStretch: 1 not allowed, want no such key until a restart"},
		{`"zones":["a","b"]`, `"zones":["a"]`, "settings.zones: 1 entry not allowed, want 2 entries until a restart"},
		{`"racks":[1,2]`, `"racks":{}`, "settings.site.racks: an object not allowed, want an array until a restart"},
	} {
		changed := parseDocument(t, strings.Replace(validDocument, test.old, test.new, 1))
		require.EqualError(t, changed.CheckChangeFrom(parseDocument(t, validDocument)), test.want)
	}
}

// The error for a value of the wrong type names the key and describes the types in JSON terms.
func TestParseDocumentDescribesWrongTypes(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"openCap":9`, `"openCap":9.5`, "settings.caps.openCap: a number 9.5 not allowed, want an integer in the range of int"},
		{`"deadlineS":3`, `"deadlineS":"3"`, "settings.classes.deadlineS: a string not allowed, want a number in the range of float64"},
		{`"zones":["a","b"]`, `"zones":"a"`, "settings.zones: a string not allowed, want an array"},
		{`"name":"d"`, `"name":""`, "settings.classes[1].name: missing, want a text that is not empty"},
	} {
		_, err := config.ParseDocument([]byte(strings.Replace(validDocument, test.old, test.new, 1)))
		require.EqualError(t, err, test.want)
	}
}
