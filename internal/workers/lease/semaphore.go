package lease

import "sync/atomic"

// Semaphore is a weighted semaphore whose capacity can change, for queries and parts in flight or for file descriptors. All
// workers share one semaphore, so any of them can use the units that the others do not use, and the total is exact at any
// time. (golang.org/x/sync/semaphore cannot be resized.) It is safe for concurrent use.
type Semaphore struct {
	capacity atomic.Int64
	acquired atomic.Int64
}

// NewSemaphore returns a semaphore with a capacity, in units; 0: unlimited.
func NewSemaphore(capacity int) *Semaphore {
	s := &Semaphore{}
	s.Resize(capacity)
	return s
}

// Resize changes the capacity; 0: unlimited. Units in excess of a smaller capacity stay acquired, and TryAcquire fails until
// enough of them are released.
func (s *Semaphore) Resize(capacity int) { s.capacity.Store(int64(capacity)) }

// TryAcquire acquires n units or none, without waiting, and reports whether it acquired them.
func (s *Semaphore) TryAcquire(n int) bool {
	capacity := s.capacity.Load()
	if s.acquired.Add(int64(n)) > capacity && capacity > 0 {
		s.acquired.Add(-int64(n))
		return false
	}
	return true
}

// Release releases n units.
func (s *Semaphore) Release(n int) { s.acquired.Add(-int64(n)) }

// Acquired returns the number of units acquired.
func (s *Semaphore) Acquired() int { return int(s.acquired.Load()) }
