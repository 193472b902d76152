package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

// checkUniqueKeys returns an error for the first duplicate key in any object of the next value, which is at the given path.
// Keys that differ only in the case of their letters are duplicates, because encoding/json matches field names without regard
// to case. The caller must have checked that the text is valid JSON, which bounds the depth of the recursion.
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

// checkObjectKeys checks the keys and values of an object whose opening delimiter has been read.
func checkObjectKeys(decoder *json.Decoder, path string) error {
	seenKeys := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return jsonError(documentKey, "", err)
		}
		key := token.(string) // always a string, because the text is valid JSON
		memberPath := joinPath(path, key)
		folded := foldKey(key)
		if seenKeys[folded] {
			return &KeyError{Key: memberPath, Value: "duplicate key", Allowed: "each key once, whatever the case of its letters"}
		}
		seenKeys[folded] = true
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

// foldKey folds the case of a key as encoding/json does when it matches keys to field names.
func foldKey(key string) string {
	return strings.Map(func(letter rune) rune {
		for {
			next := unicode.SimpleFold(letter)
			if next <= letter {
				return next // the smallest rune of the equivalence class
			}
			letter = next
		}
	}, key)
}

// joinPath returns the path of the member key of the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
