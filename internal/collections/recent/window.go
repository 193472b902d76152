package recent

// Window counts what happened lately. Its zero value is empty. Times must not run backwards; those that are equal, as
// in a batch, share one entry.
type Window struct {
	runs  []run // in the order of time
	total int
}

type run struct {
	at    float64
	count int
}

// Add counts one more at a time.
func (w *Window) Add(at float64) {
	if n := len(w.runs); n > 0 && w.runs[n-1].at == at {
		w.runs[n-1].count++
	} else {
		w.runs = append(w.runs, run{at, 1})
	}
	w.total++
}

// Forget drops what was before a time.
func (w *Window) Forget(before float64) {
	n := 0
	for n < len(w.runs) && w.runs[n].at < before {
		w.total -= w.runs[n].count
		n++
	}
	w.runs = w.runs[n:]
}

// Len is how much is kept.
func (w *Window) Len() int { return w.total }
