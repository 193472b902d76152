package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"mothrouter/internal/broker"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/decision"
)

// MaxDocumentSize is the size limit of a document in bytes. At 2,700 revisions a day, one every 32 s, a broker that receives a
// document of this size each time receives 64 KiB / 32 s = 2 KiB/s.
const MaxDocumentSize = configpb.MaxDocument

// documentKey is the key in errors that concern the document as a whole.
const documentKey = "document"

// Document is the content of a configuration revision: the keys discovery and settings, as in the file named by PROXY_CONFIG.
// It is immutable and created by ParseDocument.
type Document struct {
	Discovery        string           // address host:port of the discovery service
	ConcurrencyLimit int              // limit on queries and parts in flight; 0: no limit
	Classes          []decision.Class // in the order of the settings

	tree any // the decoded JSON, with numbers as json.Number
}

// ParseDocument parses a document and validates it like the file named by PROXY_CONFIG. In addition it rejects top-level keys
// other than discovery and settings, and duplicate keys in an object, because JSON parsers disagree on which of them counts.
// Errors are of type *KeyError, with the key "document" if they concern the document as a whole.
func ParseDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, notAllowed(documentKey, byteCount(len(data)), "at most %v", byteCount(MaxDocumentSize))
	}
	var keys revisableKeys
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, jsonError(documentKey, "", err)
	}
	document := &Document{Discovery: keys.Discovery}
	if err := newNumberDecoder(data).Decode(&document.tree); err != nil {
		return nil, jsonError(documentKey, "", err)
	}
	if err := checkTopLevelKeys(document.tree); err != nil {
		return nil, err
	}
	if err := checkUniqueKeys(newNumberDecoder(data), ""); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", keys.Discovery); err != nil {
		return nil, err
	}
	c := defaults()
	if err := c.readSettings(keys.Settings); err != nil {
		return nil, err
	}
	document.ConcurrencyLimit, document.Classes = c.ConcurrencyLimit, c.Settings.Classes
	return document, nil
}

// newNumberDecoder returns a decoder that decodes numbers as json.Number, which keeps their text.
func newNumberDecoder(data []byte) *json.Decoder {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return decoder
}

// checkTopLevelKeys returns an error if the document is not an object or has a top-level key other than discovery and settings.
func checkTopLevelKeys(tree any) error {
	top, ok := tree.(map[string]any)
	if !ok {
		return notAllowed(documentKey, describeJSON(tree), "an object")
	}
	for _, key := range slices.Sorted(maps.Keys(top)) {
		if key == "" {
			return notAllowed(documentKey, description("an empty key"), "only the keys discovery and settings")
		}
		if key != "discovery" && key != "settings" {
			return &KeyError{Key: key, Value: "unknown key", Allowed: "one of discovery, settings"}
		}
	}
	return nil
}

// Change returns the part of the document that the core of a broker applies.
func (d *Document) Change() broker.Change {
	return broker.Change{Classes: d.Classes, ConcurrencyLimit: d.ConcurrencyLimit}
}

// Document returns the discovery address and settings of the startup configuration as a document. Errors are of type
// *KeyError: a configuration file may be larger than a document is allowed to be, or have duplicate keys.
func (c *Config) Document() (*Document, error) {
	text, err := json.Marshal(revisableKeys{Discovery: c.Discovery, Settings: c.file.Settings})
	if err != nil {
		return nil, unreadable("settings", byteCount(len(c.file.Settings)), "a JSON object", err)
	}
	return ParseDocument(text)
}
