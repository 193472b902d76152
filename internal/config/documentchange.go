package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
)

// maxExactInteger is the bound below which a float64 holds each integer.
const maxExactInteger = 1 << 53

// changeable are the keys that may differ in service. [] stands for any index.
var changeable = map[string]bool{
	"discovery":                     true,
	"settings.caps.openCap":         true,
	"settings.classes[].objectiveS": true,
	"settings.classes[].deadlineS":  true,
	"settings.classes[].worth":      true,
	"settings.classes[].lateWorth":  true,
}

// CheckChangeFrom returns nil if a broker that was started with the document start can apply this one in service. Otherwise
// the error is a *KeyError with the first key, in the order of keys, that needs a restart. All keys are compared, also those
// that no broker reads.
func (d *Document) CheckChangeFrom(start *Document) error {
	if err := compare(jsonPath{}, start.tree, d.tree); err != nil {
		return err
	}
	if len(d.Classes) != len(start.Classes) { // documents that differ in numbers alone have the same classes
		panic("config: documents with different classes compare as equal")
	}
	return nil
}

// jsonPath is the place of a value in a document.
type jsonPath struct {
	path    string // such as settings.classes[1].worth
	pattern string // the same with [] for each index, as in changeable
}

// member returns the path of an object's member.
func (p jsonPath) member(key string) jsonPath {
	return jsonPath{path: joinPath(p.path, key), pattern: joinPath(p.pattern, key)}
}

// element returns the path of an array's element.
func (p jsonPath) element(index int) jsonPath {
	return jsonPath{path: fmt.Sprintf("%s[%d]", p.path, index), pattern: p.pattern + "[]"}
}

// needsRestart returns the error of a value that has changed. The format describes the value of the start.
func (p jsonPath) needsRestart(value any, format string, args ...any) error {
	return notAllowed(p.path, value, format+" until a restart", args...)
}

// compare returns the error of the first difference that needs a restart.
func compare(at jsonPath, before, after any) error {
	if changeable[at.pattern] {
		return nil
	}
	switch before := before.(type) {
	case map[string]any:
		if after, ok := after.(map[string]any); ok {
			return compareObjects(at, before, after)
		}
	case []any:
		if after, ok := after.([]any); ok {
			return compareArrays(at, before, after)
		}
	case json.Number:
		if after, ok := after.(json.Number); ok && isSameNumber(string(before), string(after)) {
			return nil
		}
	default: // a string, a bool or nil
		if reflect.DeepEqual(before, after) {
			return nil
		}
	}
	return at.needsRestart(describeJSON(after), "%v", describeJSON(before))
}

// compareObjects compares the members of two objects in the order of their keys.
func compareObjects(at jsonPath, before, after map[string]any) error {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		member := at.member(key)
		valueBefore, existed := before[key]
		valueAfter, exists := after[key]
		switch {
		case existed && exists:
			if err := compare(member, valueBefore, valueAfter); err != nil {
				return err
			}
		case changeable[member.pattern]:
		case existed:
			return missingKey(member.path, fmt.Sprintf("%v until a restart", describeJSON(valueBefore)))
		default:
			return member.needsRestart(describeJSON(valueAfter), "no such key")
		}
	}
	return nil
}

// compareArrays compares the elements of two arrays in their order.
func compareArrays(at jsonPath, before, after []any) error {
	if len(before) != len(after) {
		return at.needsRestart(entryCount(len(after)), "%v", entryCount(len(before)))
	}
	for i := range before {
		if err := compare(at.element(i), before[i], after[i]); err != nil {
			return err
		}
	}
	return nil
}

// isSameNumber reports whether two JSON numbers have one value, such as 4 and 4.0.
func isSameNumber(a, b string) bool {
	if a == b {
		return true
	}
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x == y && math.Abs(x) < maxExactInteger
}

// describeJSON returns a value of a document as errors show it: the value itself, or what it is.
func describeJSON(value any) fmt.Stringer {
	switch value := value.(type) {
	case map[string]any:
		return description("an object")
	case []any:
		return description("an array")
	case nil:
		return description("null")
	default:
		return description(quoteValue(value))
	}
}

// description is a value as errors show it.
type description string

// String returns the description.
func (d description) String() string { return string(d) }
