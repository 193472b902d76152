package main

import (
	"fmt"
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"mothrouter/internal/harness/recordservertest"
)

// result is what one run measured.
type result struct {
	served, lost float64 // queries per second
	p50, p99     float64 // latency, ms
	processor    float64 // processor time of the broker, µs per query
	memory       float64 // resident memory of the broker, MB
}

// printReport prints a table with a row for each variant.
func printReport(variants []variant) {
	offered := fmt.Sprintf("%g a second", *rate)
	if *rate == 0 {
		offered = "as many as come back"
	}
	fmt.Printf("%d parts a query, %d record servers, %d clients, offered %s, %d runs of %g s\n\n", *parts, *servers,
		*clients, offered, *runs, *seconds)
	fmt.Println("| workers | served a second | not served | p50 ms | p99 ms | µs of processor a query | MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, v := range variants {
		name := strconv.Itoa(v.workers)
		if v.workers == 0 {
			name = "none (one loop)"
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s |\n", name,
			v.cell(func(r result) float64 { return r.served }), v.cell(func(r result) float64 { return r.lost }),
			v.cell(func(r result) float64 { return r.p50 }), v.cell(func(r result) float64 { return r.p99 }),
			v.cell(func(r result) float64 { return r.processor }), v.cell(func(r result) float64 { return r.memory }))
	}
}

// cell returns the text of one table cell: a measure over all runs of the variant.
func (v variant) cell(measure func(result) float64) string {
	var values []float64
	for _, r := range v.results {
		values = append(values, measure(r))
	}
	return interval(values)
}

// interval returns the mean of values with the half width of its 95 % confidence interval, by Student's t-distribution.
func interval(values []float64) string {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return fmt.Sprintf("%.4g", mean)
	}
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return fmt.Sprintf("%.4g ± %.2g", mean, t*deviation/math.Sqrt(n))
}

// printViolations prints the violations of the attempt rules that the record servers have observed.
func printViolations(fleet *recordservertest.Fleet) {
	violations, attempts := fleet.Violations()
	fmt.Printf("\nrules broken: %d, in %d parts\n", len(violations), attempts)
	for _, v := range violations {
		fmt.Println("  " + v)
	}
}
