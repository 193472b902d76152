//go:build race

package controlplanetest_test

func init() { buildFlags = []string{"-race"} }
