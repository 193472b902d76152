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

// MaxDocumentSize is the limit of a document in bytes. At 2,700 revisions a day, one in 32 s, a broker that receives the
// largest each time takes 64 KiB / 32 s = 2 KiB/s.
const MaxDocumentSize = configpb.MaxDocument

// documentKey stands in errors where no single key is at fault.
const documentKey = "document"

// Document is a revision of the configuration: discovery and settings in the form of the file of PROXY_CONFIG. It is
// immutable. Make it with ParseDocument.
type Document struct {
	Discovery        string           // address host:port of discovery
	ConcurrencyLimit int              // queries and parts in flight; 0: no limit
	Classes          []decision.Class // in the order of the settings

	tree any // as parsed, with json.Number for numbers
}

// ParseDocument parses a document and checks it as the file of PROXY_CONFIG is checked. Beyond that it rejects top-level keys
// other than discovery and settings, and duplicate keys in an object, of which readers would take different ones. Errors are
// of type *KeyError, with the key "document" where no single key is at fault.
func ParseDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, notAllowed(documentKey, byteCount(len(data)), "at most %v", byteCount(MaxDocumentSize))
	}
	var keys revisableKeys
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, jsonError(documentKey, "", err)
	}
	d := &Document{Discovery: keys.Discovery}
	if err := newNumberDecoder(data).Decode(&d.tree); err != nil {
		return nil, jsonError(documentKey, "", err)
	}
	if err := checkTopLevelKeys(d.tree); err != nil {
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
	d.ConcurrencyLimit, d.Classes = c.ConcurrencyLimit, c.Settings.Classes
	return d, nil
}

// newNumberDecoder returns a decoder that keeps numbers as they are written.
func newNumberDecoder(data []byte) *json.Decoder {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return decoder
}

// checkTopLevelKeys returns the error of a top-level key that no document has.
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

// Change returns what a broker's core takes over from the document.
func (d *Document) Change() broker.Change {
	return broker.Change{Classes: d.Classes, ConcurrencyLimit: d.ConcurrencyLimit}
}

// Document returns the document that equals the file of the start. Errors are of type *KeyError: a file may be larger than a
// document, or have duplicate keys.
func (c *Config) Document() (*Document, error) {
	text, err := json.Marshal(revisableKeys{Discovery: c.Discovery, Settings: c.file.Settings})
	if err != nil {
		return nil, unreadable("settings", byteCount(len(c.file.Settings)), "a JSON object", err)
	}
	return ParseDocument(text)
}
