package main

import (
	"encoding/json"

	"mothrouter/internal/harness/recordservertest"
)

// object is a JSON object in the broker's configuration file. The platform defines its keys.
type object = map[string]any

// brokerConfig returns the broker's configuration file, with the servers of the fleet as the endpoint list.
func brokerConfig(fleet *recordservertest.Fleet, listen, discovery string) ([]byte, error) {
	var endpoints []object
	for _, s := range fleet.Servers {
		endpoints = append(endpoints, object{
			"id": s.ID, "addr": s.Addr, "zone": "a", "kind": "k", "cell": s.ReplicaSet, "state": "active", "weight": 1,
			"started_ms": 0,
		})
	}
	return json.Marshal(object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
		"limits":   object{"memory_mb": *memoryMB, "sockets": *sockets},
		"known":    object{"version": 0, "full": true, "servers": endpoints},
		"settings": brokerSettings(),
	})
}

func brokerSettings() object {
	return object{
		"caps": object{
			"cancel": true, "connIdleS": 15, "connectTimeoutS": 0.25, "maxRetryAfterS": 0.5, "openCap": *openCap,
			"retryAfter": true, "sendCap": 4, "streamsPerConn": 100,
		},
		"classes":   []object{class("usage-lookup", "free", 1), class("charge-post", "single_shot", 2)},
		"discovery": "push", "machineTypes": []string{"k"}, "zones": []string{"a"}, "peersTotal": 1, "tickS": 0.005,
		"familyInfo": object{
			"bundleMax": 1, "cells": *servers, "classFloor": []float64{1, 1}, "needByClass": []float64{1, 1},
			"reach": replicationFactor, "slabs": *servers,
		},
		"report": object{"how": "piggyback"},
	}
}

func class(name, semantics string, priorityWeight float64) object {
	return object{
		"name": name, "deadlineS": 4, "objectiveS": 1.5, "lateWorth": 0, "semantics": semantics, "worth": priorityWeight,
	}
}
