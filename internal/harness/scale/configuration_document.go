package scale

import (
	"bytes"
	"fmt"
	"time"

	"mothrouter/internal/controlplane/configpb"
)

const (
	bytesPerKB = 1 << 10
	// classBytes is the maximum size of a class: 116 bytes for its object and 3 bytes in each of four arrays.
	classBytes = 140
	// documentFrameBytes is the maximum size of a document without its classes.
	documentFrameBytes = 1200
)

// newDocument returns a configuration document of the given size in bytes, which must be at least 2 KiB. It has the settings of
// the example configuration with as many classes as fit, padded with spaces. The latency objective of the classes differs
// between consecutive numbers, so that each revision is a change.
func newDocument(number uint64, size int) []byte {
	classes := (size - documentFrameBytes) / classBytes
	var b bytes.Buffer
	b.WriteString(`{"discovery": "127.0.0.1:8500", "settings": {"callers": {"marksRetry": false},
"caps": {"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "maxRetryAfterS": 0.5, "openCap": 267,
"probes": true, "retryAfter": true, "secondCopies": false, "sendCap": 4, "streamsPerConn": 100}, "classes": [`)
	latencyObjective := 1 + float64(number%100)/100
	for i := range classes {
		fmt.Fprintf(&b, `%s{"name": "class-%04d", "objectiveS": %.2f, "deadlineS": 4.0, "lateWorth": 0.0, `+
			`"semantics": "free", "worth": 1.0}`, separator(i), i, latencyObjective)
	}
	b.WriteString(`], "discovery": "push", "familyInfo": {"bundleMax": 1, "cells": 2, "reach": 2, "slabs": 4`)
	for _, array := range []struct{ key, value string }{
		{"classFloor", "1"}, {"needByClass", "1"}, {"partialEarns", "1"}, {"fetchParts", "0"},
	} {
		fmt.Fprintf(&b, `, "%s": [`, array.key)
		for i := range classes {
			b.WriteString(separator(i) + array.value)
		}
		b.WriteByte(']')
	}
	b.WriteString(`}, "index": 0, "peersTotal": 1, "machineTypes": ["m"],
"report": {"columns": ["busy", "rif"], "how": "piggyback"},
"rules": {"coldShare": 0.2, "drainGraceS": 0.25, "fallMultiple": 2.5, "fallS": 1.5, "warmUpS": 17.0},
"tickS": 0.005, "tiers": ["usage-backends"], "workload": "fanout", "zone": 0, "zones": ["a"]}}`)
	b.Write(bytes.Repeat([]byte{' '}, max(size-b.Len(), 0)))
	return b.Bytes()
}

func separator(index int) string {
	if index == 0 {
		return ""
	}
	return ","
}

// newRevision returns a revision with a document of the given size in bytes, as it would be committed by the replicated log.
func newRevision(number uint64, size int) *configpb.Revision {
	document := newDocument(number, size)
	return &configpb.Revision{Number: number, Checksum: configpb.Checksum(document), Document: document,
		PublishedUnixMs: time.Now().UnixMilli()}
}
