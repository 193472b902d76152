package main_test

import (
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// apiDescription holds docs/openapi.yaml and docs/asyncapi.yaml, against which the recorded exchanges are checked.
type apiDescription struct {
	openAPI, asyncAPI map[string]any
	mu                sync.Mutex // guards schemas
	schemas           *jsonschema.Compiler
}

func readAPIDescription(t *testing.T) *apiDescription {
	a := &apiDescription{schemas: jsonschema.NewCompiler()}
	a.schemas.DefaultDraft(jsonschema.Draft2020)
	for file, doc := range map[string]*map[string]any{"openapi.yaml": &a.openAPI, "asyncapi.yaml": &a.asyncAPI} {
		text, err := os.ReadFile("../../docs/" + file)
		require.NoError(t, err)
		require.NoError(t, yaml.Unmarshal(text, doc))
		require.NoError(t, a.schemas.AddResource("mem:///"+file, *doc))
	}
	return a
}

// validate checks a JSON text against a schema, such as "openapi.yaml#/components/schemas/Query".
func (a *apiDescription) validate(t *testing.T, schema, text string) {
	a.mu.Lock()
	s, err := a.schemas.Compile("mem:///" + schema)
	a.mu.Unlock()
	require.NoError(t, err)
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	require.NoError(t, err, text)
	require.NoError(t, s.Validate(v), text)
}

// lookup returns the node at a path of keys in the OpenAPI description. It follows references.
func (a *apiDescription) lookup(t *testing.T, keys ...string) any {
	var node any = a.openAPI
	for _, key := range keys {
		m, ok := node.(map[string]any)
		require.True(t, ok, "openapi.yaml: no object at the parent of %q in %v", key, keys)
		node, ok = m[key]
		require.True(t, ok, "openapi.yaml: no key %q in %v", key, keys)
		if m, ok := node.(map[string]any); ok && m["$ref"] != nil {
			node = a.lookup(t, strings.Split(strings.TrimPrefix(m["$ref"].(string), "#/"), "/")...)
		}
	}
	return node
}

// checker returns a function that checks each message of an exchange: every response must be described for its path and
// method, and its body must be valid against its schema, and so must the body of every query that is answered.
func (a *apiDescription) checker(t *testing.T) func(peer string, sent bool, message string) {
	requests := map[string]string{} // the latest of each client
	return func(peer string, sent bool, message string) {
		switch {
		case isServer(peer):
		case strings.HasPrefix(peer, "discovery") && sent:
			a.checkUpdate(t, message)
		case strings.HasPrefix(peer, "discovery"):
			a.checkWatch(t, message)
		case sent && strings.HasPrefix(message, "~raw "):
			requests[peer] += "\n\n" + strings.TrimPrefix(message, "~raw ")
		case strings.Fields(message)[1] == "100": // an interim response
		case sent:
			requests[peer] = message
		default:
			a.checkResponse(t, requests[peer], message)
		}
	}
}

// checkUpdate checks an update that the discovery service sends.
func (a *apiDescription) checkUpdate(t *testing.T, message string) {
	if line := strings.TrimSpace(strings.TrimPrefix(message, "~line")); strings.HasPrefix(line, "{") {
		a.validate(t, "asyncapi.yaml#/components/schemas/Change", line)
	}
}

// checkWatch checks the program's request to the discovery service.
func (a *apiDescription) checkWatch(t *testing.T, message string) {
	u, err := url.Parse(strings.Fields(message)[1])
	require.NoError(t, err)
	require.Equal(t, a.asyncAPI["channels"].(map[string]any)["hosts"].(map[string]any)["address"], u.Path)
	require.Equal(t, "1", u.Query().Get("follow"))
	require.Regexp(t, "^[0-9]+$", u.Query().Get("since"))
}

// checkResponse checks a response and, if it is a successful answer, the query that it answers.
func (a *apiDescription) checkResponse(t *testing.T, request, message string) {
	head, body, _ := strings.Cut(message, "\n\n")
	status := strings.Fields(head)[1]
	requestHead, query, _ := strings.Cut(request, "\n\n")
	requestLine := strings.Fields(requestHead)
	path, method := "/{class}", strings.ToLower(requestLine[0])
	if requestLine[1] == "/up" {
		path = "/up"
	}
	if status == "405" || method == "what" { // the method itself is not described
		method = map[string]string{"/up": "get", "/{class}": "post"}[path]
	}
	response := a.lookup(t, "paths", path, method, "responses", status).(map[string]any)
	require.Equal(t, response["content"] != nil, body != "", message)
	if body != "" {
		schema := map[bool]string{true: "Answer", false: "Problem"}[status == "200"]
		a.validate(t, "openapi.yaml#/components/schemas/"+schema, body)
	}
	if status == "200" && path == "/{class}" && !strings.Contains(requestHead, "chunked") {
		a.validate(t, "openapi.yaml#/components/schemas/Query", query)
	}
	for _, name := range []string{"Retry-After", "Allow"} {
		if strings.Contains(head, "\n"+name+": ") {
			require.Contains(t, response["headers"], name)
		}
	}
}
