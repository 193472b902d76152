//go:build race

package controlrig_test

func init() { buildFlags = []string{"-race"} }
