//go:build race

package main_test

func init() { buildFlags = append(buildFlags, "-race") }
