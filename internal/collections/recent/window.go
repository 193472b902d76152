package recent

// Window counts events in a sliding window. The zero value is empty. Times must not run backwards. Events with equal times, as
// in a batch, share a bucket. A Window is not safe for concurrent use.
type Window struct {
	buckets []bucket // ascending by time
	total   int      // number of events in buckets
}

// bucket counts the events at one time.
type bucket struct {
	at    float64
	count int
}

// Add counts one event at the time at.
func (w *Window) Add(at float64) {
	w.total++
	last := len(w.buckets) - 1
	if last >= 0 && w.buckets[last].at == at {
		w.buckets[last].count++
		return
	}
	w.buckets = append(w.buckets, bucket{at, 1})
}

// RemoveBefore removes all events before the time start.
func (w *Window) RemoveBefore(start float64) {
	expired := 0
	for expired < len(w.buckets) && w.buckets[expired].at < start {
		w.total -= w.buckets[expired].count
		expired++
	}
	w.buckets = w.buckets[expired:]
}

// Len returns the number of events in the window.
func (w *Window) Len() int { return w.total }
