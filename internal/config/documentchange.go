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

// maxExactInteger is the bound below which a float64 represents every integer exactly.
const maxExactInteger = 1 << 53

// dynamicKeys are the paths of the keys that can change without a restart. [] stands for any index.
var dynamicKeys = map[string]bool{
	"discovery":                     true,
	"settings.caps.openCap":         true,
	"settings.classes[].objectiveS": true,
	"settings.classes[].deadlineS":  true,
	"settings.classes[].worth":      true,
	"settings.classes[].lateWorth":  true,
}

// CheckChangeFrom returns nil if a broker that was started with the document startup can apply d without a restart.
// Otherwise it returns a *KeyError for the first key, in sorted order, whose change needs a restart. All keys are compared,
// including those that no broker reads.
func (d *Document) CheckChangeFrom(startup *Document) error {
	if err := compare(jsonPath{}, startup.tree, d.tree); err != nil {
		return err
	}
	if len(d.Classes) != len(startup.Classes) { // compare rejects a change of the number of classes
		panic("config: documents with different numbers of classes compare as equal")
	}
	return nil
}

// jsonPath is the location of a value in a document.
type jsonPath struct {
	path    string // for example settings.classes[1].worth
	pattern string // the path with [] for each index, as in dynamicKeys
}

// member returns the path of a member of the object at p.
func (p jsonPath) member(key string) jsonPath {
	return jsonPath{path: joinPath(p.path, key), pattern: joinPath(p.pattern, key)}
}

// element returns the path of an element of the array at p.
func (p jsonPath) element(index int) jsonPath {
	return jsonPath{path: fmt.Sprintf("%s[%d]", p.path, index), pattern: p.pattern + "[]"}
}

// restartError returns the error for a changed value that needs a restart. The format describes the value at startup.
func (p jsonPath) restartError(value any, format string, args ...any) error {
	return notAllowed(p.path, value, format+" until a restart", args...)
}

// compare returns the error for the first difference that needs a restart, or nil if there is none.
func compare(location jsonPath, before, after any) error {
	if dynamicKeys[location.pattern] {
		return nil
	}
	switch before := before.(type) {
	case map[string]any:
		if after, ok := after.(map[string]any); ok {
			return compareObjects(location, before, after)
		}
	case []any:
		if after, ok := after.([]any); ok {
			return compareArrays(location, before, after)
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
	return location.restartError(describeJSON(after), "%v", describeJSON(before))
}

// compareObjects compares the members of two objects in sorted order of their keys.
func compareObjects(location jsonPath, before, after map[string]any) error {
	union := maps.Clone(before)
	maps.Copy(union, after)
	for _, key := range slices.Sorted(maps.Keys(union)) {
		member := location.member(key)
		valueBefore, existed := before[key]
		valueAfter, exists := after[key]
		switch {
		case existed && exists:
			if err := compare(member, valueBefore, valueAfter); err != nil {
				return err
			}
		case dynamicKeys[member.pattern]:
		case existed:
			return missingKey(member.path, fmt.Sprintf("%v until a restart", describeJSON(valueBefore)))
		default:
			return member.restartError(describeJSON(valueAfter), "no such key")
		}
	}
	return nil
}

// compareArrays compares the lengths of two arrays, then their elements in order.
func compareArrays(location jsonPath, before, after []any) error {
	if len(before) != len(after) {
		return location.restartError(entryCount(len(after)), "%v", entryCount(len(before)))
	}
	for i := range before {
		if err := compare(location.element(i), before[i], after[i]); err != nil {
			return err
		}
	}
	return nil
}

// isSameNumber reports whether two JSON numbers are the same text or have the same value, such as 4 and 4.0. Values of
// magnitude maxExactInteger or more must match as text, since different integers may have the same float64.
func isSameNumber(a, b string) bool {
	if a == b {
		return true
	}
	valueA, errA := strconv.ParseFloat(a, 64)
	valueB, errB := strconv.ParseFloat(b, 64)
	return errA == nil && errB == nil && valueA == valueB && math.Abs(valueA) < maxExactInteger
}

// describeJSON returns the text for a JSON value in errors: the value of a scalar, the type of an object or array.
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

// description is the text that errors show for a value.
type description string

// String returns the description.
func (d description) String() string { return string(d) }
