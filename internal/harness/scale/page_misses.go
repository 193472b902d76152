package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mothrouter/internal/cluster/membership"
)

// targetRow is one row of what the target needs and what there is.
type targetRow struct {
	what, mechanism string
	required, have  float64 // in one unit
	unit            string
}

func (m targetRow) factor() float64 { return m.required / m.have }

func (m targetRow) verdict() string {
	switch {
	case m.have == 0:
		return "has no mechanism"
	case math.IsNaN(m.factor()):
		return notRun
	case m.factor() > 1:
		return "carries not"
	}
	return "carries"
}

// targetTable is the table of rows by how far they miss. At one and below a row carries.
func (p page) targetTable() (string, error) {
	var failed error
	get := func(value float64, err error) float64 {
		failed = errors.Join(failed, err)
		return value
	}
	query := get(p.mean("service", "processor a query", "servers=4600 parts=300")) / 1e6
	single := get(p.mean("list", "processor for a change", "servers=4600"))
	size := get(p.mean("list", "size of the list", "servers=4600"))
	mesh := get(p.mean("mesh", "memory", "servers=4600"))
	control := get(p.mean("hollow", "processor", "brokers=200")) / 1e6
	gossip := get(p.valueBeyond("membership", "bytes sent by the busiest", axisBrokers, "", TargetBrokers))
	back := get(p.valueBeyond("return", "bytes it sends in the busiest second", axisBrokers, "", TargetBrokers))
	cold := get(p.mean("cold", "largest sum of the limit", "brokers=590"))
	inForce := get(p.mean("configuration", "in force at all", "brokers=590"))
	follow := get(p.mean("configuration", "processor", "brokers=590")) / 1e6
	rows := []targetRow{
		{"configuration in force everywhere within 8 s, as found", "distribution over a replicated log " +
			"(`internal/controlplane/consensus`, `internal/controlplane/distribution`)", 1, 0, "mechanisms"},
		{"configuration now (off by default), until in force at all 590, without the log", "`internal/controlplane/distribution`, " +
			"`internal/controlplane/confighub`, `internal/controlplane/configfollower`", inForce, TargetInForce, "s"},
		{"configuration now, processor of a follower at ten times the rate of changes", "none needed", follow, BudgetCore,
			"cores"},
		{"connections of a broker, one to each record server, in the example's descriptors", "a larger limit, or subsetting",
			TargetServers, exampleSockets * serverFraction, "connections"},
		{"a broker's service path, cores (one loop, one core)", "several workers (`internal/workers/cores`), fewer frames a part",
			query * QueriesPerBroker(TargetBrokers), 1, "cores"},
		{"a zone's 460 servers told one by one, of the 0.25 s in which a drain binds", "one delta for all; a list that " +
			"changes in place", single * TargetServers / TargetZones / 1e6, 0.25, "s of the loop"},
		{"bytes a second of a broker that was killed and came back", "no ping of an instance whose name lives", back / 1e3,
			BudgetBytes / 1e3, "KB/s"},
		{"queries and parts held by one broker, in the example's openCap", "a larger cap", TargetParts + 1, exampleOpenCap,
			"units"},
		{"members", "a larger bound, or views by region", TargetBrokers, membership.MaxMembers, "members"},
		{"a whole list on one line of a watch", "none needed yet", size / 1e6, maxListLine / 1e6, "MB"},
		{"sum of what all brokers send to one cold server", "shares of the peak (`internal/workers/lease`)", cold, 1, "of the limit"},
		{"control of an idle broker, processor, at 200 brokers", "not known at 590", control, BudgetCore, "cores"},
		{"control of an idle broker, bytes sent", "none needed", gossip / 1e3, BudgetBytes / 1e3, "KB/s"},
		{"memory of the connections to all record servers, of the example's 192 MB", "none needed", mesh / 1e6, 192, "MB"},
	}
	slices.SortStableFunc(rows, func(a, b targetRow) int {
		if math.IsNaN(a.factor()) || math.IsNaN(b.factor()) {
			return 0
		}
		return int(math.Copysign(1, b.factor()-a.factor()))
	})
	var b strings.Builder
	for _, m := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", m.what, formatNumber(m.required), formatNumber(m.have), m.unit, formatNumber(m.factor()),
			m.verdict(), m.mechanism)
	}
	return strings.TrimSuffix(b.String(), "\n"), failed
}
