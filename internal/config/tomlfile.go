package config

import (
	"os"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// decodeTOML decodes the operator file at path into target, a pointer to a struct that holds the defaults. In errors, name is
// the key of the file as a whole and the prefix of its keys. A key that is not in target is an error.
func decodeTOML(name, path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return unreadable(name, path, "a readable file", err)
	}
	metadata, err := toml.Decode(string(text), target)
	if err != nil {
		return unreadable(name, path, "a TOML file with values of the right types", err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		key := unknown[0]
		return &KeyError{
			Key:     name + "." + key.String(),
			Value:   "unknown key",
			Allowed: "one of " + strings.Join(knownKeys(reflect.TypeOf(target), key), ", "),
		}
	}
	return nil
}

// knownKeys returns the keys that are allowed in the table that contains the unknown key. The type t describes the table at
// which the path unknown starts.
func knownKeys(t reflect.Type, unknown toml.Key) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		key := field.Tag.Get("toml")
		if key == "" || key == "-" {
			continue
		}
		if len(unknown) > 1 && key == unknown[0] {
			return knownKeys(field.Type, unknown[1:])
		}
		keys = append(keys, key)
	}
	return keys
}
