package recent

// Window counts events in a sliding window. Its zero value is empty. Times must not run backwards; events at one time, as in
// a batch, share an entry. It is not safe for concurrent use.
type Window struct {
	runs  []run // ascending by time
	total int   // events in runs
}

// run is the number of events at one time.
type run struct {
	at    float64
	count int
}

// Add counts one event at a time.
func (w *Window) Add(at float64) {
	w.total++
	last := len(w.runs) - 1
	if last >= 0 && w.runs[last].at == at {
		w.runs[last].count++
		return
	}
	w.runs = append(w.runs, run{at, 1})
}

// Forget removes the events before a time.
func (w *Window) Forget(before float64) {
	expired := 0
	for expired < len(w.runs) && w.runs[expired].at < before {
		w.total -= w.runs[expired].count
		expired++
	}
	w.runs = w.runs[expired:]
}

// Len returns the number of events in the window.
func (w *Window) Len() int { return w.total }
