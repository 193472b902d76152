package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"mothrouter/internal/broker"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/decision"
)

// MaxDocumentSize is how many bytes a document may have. At 2,700 revisions a day, one in 32 s, a broker that is sent the
// largest each time takes 64 KiB / 32 s = 2 KiB/s.
const MaxDocumentSize = configpb.MaxDocument

// exactIntegers is up to where a float64 holds each integer.
const exactIntegers = 1 << 53

// Document is a revision of the configuration: discovery and settings in the form of the file of PROXY_CONFIG.
// It does not change once it is parsed.
type Document struct {
	Discovery        string           // the address of discovery
	ConcurrencyLimit int              // queries and parts held at most; 0: no limit
	Classes          []decision.Class // in the order of the settings

	tree any // as parsed, with json.Number for numbers
}

// changeable are the keys that may differ in service. [] stands for any index.
var changeable = map[string]bool{
	"discovery":                     true,
	"settings.caps.openCap":         true,
	"settings.classes[].objectiveS": true,
	"settings.classes[].deadlineS":  true,
	"settings.classes[].worth":      true,
	"settings.classes[].lateWorth":  true,
}

// ParseDocument reads a document and checks it whole, by what checks the file of PROXY_CONFIG. Beyond that it refuses
// top-level keys other than discovery and settings, and keys that stand twice in an object, which readers would take
// differently. Each error is a *KeyError; "document" is the key where the text as a whole is at fault.
func ParseDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, keyError("document", "has %d bytes, %d at most", len(data), MaxDocumentSize)
	}
	var f revisableKeys
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, typeError(err)
	}
	d := &Document{Discovery: f.Discovery}
	if err := newNumberDecoder(data).Decode(&d.tree); err != nil {
		return nil, keyError("document", "%v", err)
	}
	if err := checkTopLevelKeys(d.tree); err != nil {
		return nil, err
	}
	if err := checkUniqueKeys(newNumberDecoder(data), ""); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", f.Discovery); err != nil {
		return nil, err
	}
	c := defaults()
	if err := c.readSettings(f.Settings); err != nil {
		return nil, err
	}
	d.ConcurrencyLimit, d.Classes = c.ConcurrencyLimit, c.Settings.Classes
	return d, nil
}

// newNumberDecoder reads numbers as they are written.
func newNumberDecoder(data []byte) *json.Decoder {
	in := json.NewDecoder(bytes.NewReader(data))
	in.UseNumber()
	return in
}

// typeError names the key of a value that has the wrong type, if it is that.
func typeError(err error) error {
	if e := (*json.UnmarshalTypeError)(nil); errors.As(err, &e) && e.Field != "" {
		return keyError(e.Field, "cannot be a %s", e.Value)
	}
	return keyError("document", "%v", err)
}

// checkTopLevelKeys refuses top-level keys that no document has.
func checkTopLevelKeys(tree any) error {
	top, ok := tree.(map[string]any)
	if !ok {
		return keyError("document", "is no object")
	}
	for _, key := range slices.Sorted(maps.Keys(top)) {
		if key == "" {
			return keyError("document", "a key is empty")
		}
		if key != "discovery" && key != "settings" {
			return keyError(key, "is not known")
		}
	}
	return nil
}

// checkUniqueKeys refuses objects in which a key stands twice, also where only the case of letters tells them apart: the
// package that reads settings into fields takes either. The text must be valid JSON, which bounds its depth.
func checkUniqueKeys(in *json.Decoder, path string) error {
	token, err := in.Token()
	if err != nil {
		return keyError("document", "%v", err)
	}
	open, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for index := 0; in.More(); index++ {
		below := fmt.Sprintf("%s[%d]", path, index)
		if open == '{' {
			token, err := in.Token()
			if err != nil {
				return keyError("document", "%v", err)
			}
			key := token.(string) // as the text is valid
			below = joinPath(path, key)
			folded := foldKey(key)
			if seen[folded] {
				return keyError(below, "stands twice")
			}
			seen[folded] = true
		}
		if err := checkUniqueKeys(in, below); err != nil {
			return err
		}
	}
	_, err = in.Token() // its end
	return err
}

// foldKey is a key as encoding/json compares it with the names of fields.
func foldKey(key string) string {
	return strings.Map(func(r rune) rune {
		for {
			next := unicode.SimpleFold(r)
			if next <= r {
				return next // the least of those that are alike
			}
			r = next
		}
	}, key)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// CheckChangeFrom tells whether a broker that was started with the document from can take this one into force while it serves.
// If not, the error is a *KeyError with the first key, in their order, that needs a restart. All keys are compared,
// also those that no broker reads.
func (d *Document) CheckChangeFrom(from *Document) error {
	if e := difference("", "", from.tree, d.tree); e != nil {
		return e
	}
	if len(d.Classes) != len(from.Classes) { // equal trees but for numbers have as many
		panic("config: documents with different classes passed for alike")
	}
	return nil
}

// difference is the first difference that no revision may make. The pattern is the path with [] for each index.
func difference(path, pattern string, was, is any) *KeyError {
	if changeable[pattern] {
		return nil
	}
	switch was := was.(type) {
	case map[string]any:
		if is, ok := is.(map[string]any); ok {
			return objectDifference(path, pattern, was, is)
		}
	case []any:
		if is, ok := is.([]any); ok {
			return arrayDifference(path, pattern, was, is)
		}
	case json.Number:
		if is, ok := is.(json.Number); ok && sameNumber(string(was), string(is)) {
			return nil
		}
	default: // a string, a bool or nil
		if reflect.DeepEqual(was, is) {
			return nil
		}
	}
	return &KeyError{Key: path, Reason: "has changed, which needs a restart"}
}

func objectDifference(path, pattern string, was, is map[string]any) *KeyError {
	keys := slices.Sorted(maps.Keys(was))
	for key := range is {
		if _, both := was[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		before, had := was[key]
		after, has := is[key]
		below, belowPattern := joinPath(path, key), joinPath(pattern, key)
		switch {
		case had && has:
			if e := difference(below, belowPattern, before, after); e != nil {
				return e
			}
		case changeable[belowPattern]:
		case had:
			return &KeyError{Key: below, Reason: "is missing, which needs a restart"}
		default:
			return &KeyError{Key: below, Reason: "is new, which needs a restart"}
		}
	}
	return nil
}

func arrayDifference(path, pattern string, was, is []any) *KeyError {
	if len(was) != len(is) {
		return &KeyError{Key: path, Reason: fmt.Sprintf("has %d entries instead of %d, which needs a restart",
			len(is), len(was))}
	}
	for i := range was {
		if e := difference(fmt.Sprintf("%s[%d]", path, i), pattern+"[]", was[i], is[i]); e != nil {
			return e
		}
	}
	return nil
}

// sameNumber tells whether two numbers are one to whoever reads them, such as 4 and 4.0.
func sameNumber(a, b string) bool {
	if a == b {
		return true
	}
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x == y && math.Abs(x) < exactIntegers
}

// Change is what the document changes of a broker's core.
func (d *Document) Change() broker.Change {
	return broker.Change{Classes: d.Classes, ConcurrencyLimit: d.ConcurrencyLimit}
}

// Document is the document of the file that the broker was started with. The error is a *KeyError: a file may be larger
// than a document, or have a key twice.
func (c *Config) Document() (*Document, error) {
	text, err := json.Marshal(revisableKeys{Discovery: c.Discovery, Settings: c.file.Settings})
	if err != nil {
		return nil, keyError("settings", "%v", err)
	}
	return ParseDocument(text)
}
