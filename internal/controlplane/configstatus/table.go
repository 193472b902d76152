package configstatus

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// maxListedNames is the maximum number of names in one line of the table; the JSON output has all names.
const maxListedNames = 10

// Write writes the view as a table with at most maxRevisions revisions, the newest first. Ages are relative to now. Its
// errors are those of out.
func (v View) Write(out io.Writer, now time.Time, maxRevisions int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "newest revision %d, leader %s, confirmed by a quorum %s\n\n",
		v.Newest, orDefault(v.Leader, "none known"), formatAge(v.ConfirmedMs))
	v.writeMachines(w)
	v.writeRevisions(w, now, maxRevisions)
	v.writeBrokers(w)
	return w.Flush()
}

func (v View) writeMachines(w io.Writer) {
	fmt.Fprintln(w, "MACHINE\tADDRESS\tROLE\tNEWEST\tCONFIRMED\tBROKERS\tREACHED BY\tSTATE")
	for _, m := range v.Machines {
		name := orDefault(m.Name, "?")
		role := orDefault(m.Role, "?")
		if !m.Answered {
			state := "no answer: " + orDefault(m.Error, "not asked")
			fmt.Fprintf(w, "%s\t%s\t%s\t-\t-\t-\t%d\t%s\n", name, m.Address, role, m.ReachableBy, state)
			continue
		}
		state := "answers"
		if m.Newest < v.Newest {
			state = fmt.Sprintf("%d behind", v.Newest-m.Newest)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n",
			name, m.Address, role, m.Newest, formatAge(m.ConfirmedMs), m.Brokers, m.ReachableBy, state)
	}
}

func (v View) writeRevisions(w io.Writer, now time.Time, limit int) {
	if len(v.Revisions) == 0 {
		return
	}
	fmt.Fprintln(w, "\nREVISION\tPUBLISHED\tIN FORCE EVERYWHERE\tHAVE IT\tLAGGING")
	for _, r := range v.Revisions[:min(limit, len(v.Revisions))] {
		everywhere := "not yet"
		if r.EverywhereMs >= 0 {
			everywhere = fmt.Sprintf("after %.1f s", float64(r.EverywhereMs)/1e3)
		}
		age := now.Sub(r.PublishedAt).Round(time.Second)
		fmt.Fprintf(w, "%d\t%v ago\t%s\t%d\t%d\n", r.Number, age, everywhere, r.Brokers, r.Lagging)
	}
}

func (v View) writeBrokers(w io.Writer) {
	fmt.Fprintf(w, "\nbrokers: %d connected, %d behind, %d cut off\n", v.Connected, len(v.Lagging), len(v.Disconnected))
	if len(v.Lagging) > 0 {
		fmt.Fprintln(w, "behind:", formatBrokers(v.Lagging))
	}
	if len(v.Disconnected) > 0 {
		fmt.Fprintln(w, "cut off:", formatBrokers(v.Disconnected))
	}
	for _, r := range v.Rejections {
		fmt.Fprintf(w, "revision %d refused by %d brokers, %s: %s (%s)\n", r.Number, len(r.Brokers), r.Key, r.Reason,
			joinNames(r.Brokers))
	}
}

// formatBrokers returns the brokers' names, with the revisions in force, joined by joinNames.
func formatBrokers(brokers []Broker) string {
	list := make([]string, len(brokers))
	for i, b := range brokers {
		list[i] = fmt.Sprintf("%s (%d in force)", b.Name, b.InForce)
	}
	return joinNames(list)
}

// joinNames returns the first maxListedNames names, and the number of the remaining ones.
func joinNames(list []string) string {
	if len(list) <= maxListedNames {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:maxListedNames], ", "), len(list)-maxListedNames)
}

// formatAge formats an age in seconds, or returns "never" if it is negative.
func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", float64(milliseconds)/1e3)
}

// orDefault returns s, or the default value if s is empty.
func orDefault(s, defaultValue string) string {
	if s == "" {
		return defaultValue
	}
	return s
}
