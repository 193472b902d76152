package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mothrouter/internal/cluster/membership"
)

// targetRow compares what the target requires with what there is.
type targetRow struct {
	what      string
	mechanism string  // that would supply what is missing
	required  float64 // in unit
	have      float64 // in unit; 0: there is no mechanism; NaN: not measured
	unit      string
}

// factor returns how many times the target requires what there is.
func (r targetRow) factor() float64 { return r.required / r.have }

func (r targetRow) verdict() string {
	switch {
	case r.have == 0:
		return "has no mechanism"
	case math.IsNaN(r.factor()):
		return notRun
	case r.factor() > 1:
		return "carries not"
	}
	return "carries"
}

// targetMeasures are the measures that the rows compare, at the target's sizes.
type targetMeasures struct {
	queryProcessor         float64 // core seconds a query, service path
	changeProcessor        float64 // µs for a change of one server on the endpoint list
	listBytes              float64 // of the full endpoint list
	meshMemory             float64 // bytes, of the connections to all record servers
	controlProcessor       float64 // cores, of an idle broker at 200 brokers
	membershipBytes        float64 // a second, sent by the busiest broker
	returnBytes            float64 // sent by a restarted broker in its busiest second
	slowStartBudget        float64 // largest sum of all brokers' budgets, as a fraction of the limit
	revisionInForce        float64 // seconds until a revision is in force at all followers
	configurationProcessor float64 // cores, of a follower
}

// targetMeasures returns the measures. Those of experiments without a record are NaN.
func (p page) targetMeasures() (m targetMeasures, err error) {
	measure := func(value float64, measureErr error) float64 {
		err = errors.Join(err, measureErr)
		return value
	}
	m = targetMeasures{
		queryProcessor:   measure(p.mean("service", "processor a query", "servers=4600 parts=300")) / 1e6,
		changeProcessor:  measure(p.mean("list", "processor for a change", "servers=4600")),
		listBytes:        measure(p.mean("list", "size of the list", "servers=4600")),
		meshMemory:       measure(p.mean("mesh", "memory", "servers=4600")),
		controlProcessor: measure(p.mean("hollow", "processor", "brokers=200")) / 1e6,
		membershipBytes: measure(
			p.valueBeyond("membership", "bytes sent by the busiest", axisBrokers, "", TargetBrokers)),
		returnBytes: measure(
			p.valueBeyond("return", "bytes it sends in the busiest second", axisBrokers, "", TargetBrokers)),
		slowStartBudget:        measure(p.mean("cold", "largest sum of the limit", "brokers=590")),
		revisionInForce:        measure(p.mean("configuration", "in force at all", "brokers=590")),
		configurationProcessor: measure(p.mean("configuration", "processor", "brokers=590")) / 1e6,
	}
	return m, err
}

// rows returns all rows of the table.
func (m targetMeasures) rows() []targetRow { return append(m.configurationRows(), m.otherRows()...) }

func (m targetMeasures) configurationRows() []targetRow {
	return []targetRow{
		{"configuration in force everywhere within 8 s, as found", "distribution over a replicated log " +
			"(`internal/controlplane/consensus`, `internal/controlplane/distribution`)", 1, 0, "mechanisms"},
		{"configuration now (off by default), until in force at all 590, without the log",
			"`internal/controlplane/distribution`, `internal/controlplane/confighub`, " +
				"`internal/controlplane/configfollower`", m.revisionInForce, TargetInForce, "s"},
		{"configuration now, processor of a follower at ten times the rate of changes", "none needed",
			m.configurationProcessor, BudgetCore, "cores"},
	}
}

func (m targetMeasures) otherRows() []targetRow {
	const drainLimit = 0.25 // seconds in which a drain binds
	const exampleMemoryMB = 192
	return []targetRow{
		{"connections of a broker, one to each record server, in the example's descriptors", "a larger limit, or subsetting",
			TargetServers, exampleSockets * serverFraction, "connections"},
		{"a broker's service path, cores (one loop, one core)", "several workers (`internal/workers/cores`), fewer frames a part",
			m.queryProcessor * QueriesPerBroker(TargetBrokers), 1, "cores"},
		{"a zone's 460 servers told one by one, of the 0.25 s in which a drain binds", "one delta for all; a list that " +
			"changes in place", m.changeProcessor * TargetServers / TargetZones / 1e6, drainLimit, "s of the loop"},
		{"bytes a second of a broker that was killed and came back", "no ping of an instance whose name lives",
			m.returnBytes / 1e3, BudgetBytes / 1e3, "KB/s"},
		{"queries and parts held by one broker, in the example's openCap", "a larger cap", TargetParts + 1, exampleOpenCap,
			"units"},
		{"members", "a larger bound, or views by region", TargetBrokers, membership.MaxMembers, "members"},
		{"a whole list on one line of a watch", "none needed yet", m.listBytes / 1e6, maxListLine / 1e6, "MB"},
		{"sum of what all brokers send to one cold server", "shares of the peak (`internal/workers/lease`)",
			m.slowStartBudget, 1, "of the limit"},
		{"control of an idle broker, processor, at 200 brokers", "not known at 590", m.controlProcessor, BudgetCore, "cores"},
		{"control of an idle broker, bytes sent", "none needed", m.membershipBytes / 1e3, BudgetBytes / 1e3, "KB/s"},
		{"memory of the connections to all record servers, of the example's 192 MB", "none needed", m.meshMemory / 1e6,
			exampleMemoryMB, "MB"},
	}
}

// targetTable returns the rows of the table, the one that misses by the largest factor first. A row carries if its
// factor is at most one.
func (p page) targetTable() (string, error) {
	measures, err := p.targetMeasures()
	rows := measures.rows()
	slices.SortStableFunc(rows, func(a, b targetRow) int {
		if math.IsNaN(a.factor()) || math.IsNaN(b.factor()) {
			return 0
		}
		return int(math.Copysign(1, b.factor()-a.factor()))
	})
	var b strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.what, formatNumber(r.required), formatNumber(r.have), r.unit,
			formatNumber(r.factor()), r.verdict(), r.mechanism)
	}
	return strings.TrimSuffix(b.String(), "\n"), err
}
