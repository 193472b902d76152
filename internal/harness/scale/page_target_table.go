package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mothrouter/internal/cluster/membership"
)

// targetRow compares what the target requires with what is available.
type targetRow struct {
	description string
	mechanism   string  // that would provide what is missing
	required    float64 // in unit
	available   float64 // in unit; 0 if there is no mechanism, NaN if not measured
	unit        string
}

// factor returns the ratio of what the target requires to what is available.
func (r targetRow) factor() float64 { return r.required / r.available }

// verdict returns whether what is available meets the target.
func (r targetRow) verdict() string {
	switch {
	case r.available == 0:
		return "has no mechanism"
	case math.IsNaN(r.factor()):
		return notRun
	case r.factor() > 1:
		return "carries not"
	}
	return "carries"
}

// targetMeasures holds the measures that the rows compare, at the target's sizes unless a field says otherwise.
type targetMeasures struct {
	queryCPUSeconds      float64 // core seconds per query, on the service path
	changeCPUMicros      float64 // µs per change of one server on the endpoint list
	listBytes            float64 // size of the full endpoint list
	meshMemory           float64 // bytes used by the connections to all record servers
	idleBrokerCores      float64 // cores used by an idle broker, at 200 brokers
	membershipBytes      float64 // per second, sent by the busiest broker
	restartBytes         float64 // sent by a restarted broker in its busiest second
	slowStartBudgetShare float64 // largest sum of all brokers' budgets as a fraction of the limit
	propagationTime      float64 // seconds until a revision is in force at all followers
	followerCores        float64 // cores used by a configuration follower
}

// targetMeasures returns the measures for the rows. Measures of experiments without a record are NaN.
func (p page) targetMeasures() (m targetMeasures, err error) {
	measure := func(value float64, measureErr error) float64 {
		err = errors.Join(err, measureErr)
		return value
	}
	m = targetMeasures{
		queryCPUSeconds: measure(p.mean("service", "processor a query", "servers=4600 parts=300")) / 1e6,
		changeCPUMicros: measure(p.mean("list", "processor for a change", "servers=4600")),
		listBytes:       measure(p.mean("list", "size of the list", "servers=4600")),
		meshMemory:      measure(p.mean("mesh", "memory", "servers=4600")),
		idleBrokerCores: measure(p.mean("hollow", "processor", "brokers=200")) / 1e6,
		membershipBytes: measure(
			p.estimatedCost("membership", "bytes sent by the busiest", axisBrokers, "", TargetBrokers)),
		restartBytes: measure(
			p.estimatedCost("return", "bytes it sends in the busiest second", axisBrokers, "", TargetBrokers)),
		slowStartBudgetShare: measure(p.mean("cold", "largest sum of the limit", "brokers=590")),
		propagationTime:      measure(p.mean("configuration", "in force at all", "brokers=590")),
		followerCores:        measure(p.mean("configuration", "processor", "brokers=590")) / 1e6,
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
				"`internal/controlplane/configfollower`", m.propagationTime, TargetPropagationTime, "s"},
		{"configuration now, processor of a follower at ten times the rate of changes", "none needed",
			m.followerCores, BudgetCores, "cores"},
	}
}

func (m targetMeasures) otherRows() []targetRow {
	const drainLimit = 0.25 // seconds within which a drain must take effect
	const exampleMemoryMB = 192
	return []targetRow{
		{"connections of a broker, one to each record server, in the example's descriptors", "a larger limit, or subsetting",
			TargetServers, exampleDescriptors * serverFraction, "connections"},
		{"a broker's service path, cores (one loop, one core)", "several workers (`internal/workers/cores`), fewer frames a part",
			m.queryCPUSeconds * QueriesPerBroker(TargetBrokers), 1, "cores"},
		{"a zone's 460 servers told one by one, of the 0.25 s in which a drain binds", "one delta for all; a list that " +
			"changes in place", m.changeCPUMicros * TargetServers / TargetZones / 1e6, drainLimit, "s of the loop"},
		{"bytes a second of a broker that was killed and came back", "no ping of an instance whose name lives",
			m.restartBytes / 1e3, BudgetBytes / 1e3, "KB/s"},
		{"queries and parts held by one broker, in the example's openCap", "a larger cap", TargetParts + 1, exampleOpenCap,
			"units"},
		{"members", "a larger bound, or views by region", TargetBrokers, membership.MaxMembers, "members"},
		{"a whole list on one line of a watch", "none needed yet", m.listBytes / 1e6, maxListLine / 1e6, "MB"},
		{"sum of what all brokers send to one cold server", "shares of the peak (`internal/workers/lease`)",
			m.slowStartBudgetShare, 1, "of the limit"},
		{"control of an idle broker, processor, at 200 brokers", "not known at 590", m.idleBrokerCores, BudgetCores, "cores"},
		{"control of an idle broker, bytes sent", "none needed", m.membershipBytes / 1e3, BudgetBytes / 1e3, "KB/s"},
		{"memory of the connections to all record servers, of the example's 192 MB", "none needed", m.meshMemory / 1e6,
			exampleMemoryMB, "MB"},
	}
}

// targetTable returns the Markdown rows of the table, sorted by descending factor. A row meets the target if its factor is
// at most one.
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
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.description, formatNumber(r.required),
			formatNumber(r.available), r.unit, formatNumber(r.factor()), r.verdict(), r.mechanism)
	}
	return strings.TrimSuffix(b.String(), "\n"), err
}
