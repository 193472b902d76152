package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

// checkUniqueKeys returns the error of the first duplicate key of an object. Keys that differ only by the case of their
// letters are duplicates, since encoding/json sets a field by either. The text must be valid JSON, which bounds the depth of
// the recursion. The path is that of the value that comes next.
func checkUniqueKeys(decoder *json.Decoder, path string) error {
	token, err := decoder.Token()
	if err != nil {
		return jsonError(documentKey, "", err)
	}
	opening, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	if opening == '{' {
		err = checkObjectKeys(decoder, path)
	} else {
		err = checkArrayKeys(decoder, path)
	}
	if err != nil {
		return err
	}
	_, err = decoder.Token() // the closing delimiter
	return err
}

// checkObjectKeys checks the members of an object whose opening delimiter has been read.
func checkObjectKeys(decoder *json.Decoder, path string) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return jsonError(documentKey, "", err)
		}
		key := token.(string) // as the text is valid
		memberPath := joinPath(path, key)
		folded := foldKey(key)
		if seen[folded] {
			return &KeyError{Key: memberPath, Value: "duplicate key", Allowed: "each key once, whatever the case of its letters"}
		}
		seen[folded] = true
		if err := checkUniqueKeys(decoder, memberPath); err != nil {
			return err
		}
	}
	return nil
}

// checkArrayKeys checks the elements of an array whose opening delimiter has been read.
func checkArrayKeys(decoder *json.Decoder, path string) error {
	for index := 0; decoder.More(); index++ {
		if err := checkUniqueKeys(decoder, fmt.Sprintf("%s[%d]", path, index)); err != nil {
			return err
		}
	}
	return nil
}

// foldKey returns a key in the form in which encoding/json compares it with the names of fields.
func foldKey(key string) string {
	return strings.Map(func(letter rune) rune {
		for {
			next := unicode.SimpleFold(letter)
			if next <= letter {
				return next // the least of those that are alike
			}
			letter = next
		}
	}, key)
}

// joinPath returns the path of a member of the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
