package broker

import "cloverhook"

// ListEntry is one record server of the list.
type ListEntry struct {
	cloverhook.Server
	Addr string
}

// List is news of the server list.
type List struct {
	Mode    cloverhook.ListMode
	Version int64
	Servers []ListEntry
}

// Update hands news of the server list to the core, and returns once it has it.
func (b *Broker) Update(l List) {
	taken := make(chan struct{})
	b.post(func() {
		b.update(l)
		close(taken)
	})
	select {
	case <-taken:
	case <-b.stopped:
	}
}

func (b *Broker) update(l List) {
	e := cloverhook.List{Mode: l.Mode, Version: l.Version}
	if l.Mode == cloverhook.ListFull || l.Mode == cloverhook.ListCached {
		for _, s := range b.servers { // those that the list lacks are gone
			s.ready = false
		}
	}
	for _, n := range l.Servers {
		e.Servers = append(e.Servers, n.Server)
		s := b.servers[n.ID]
		if s == nil || s.Addr != n.Addr {
			if s != nil {
				s.leaving.Store(true) // what waits for the old address must not go there
			}
			s = &Server{ID: n.ID, Addr: n.Addr}
			b.servers[n.ID] = s
		}
		s.Cell, s.ready = n.Cell, n.State == cloverhook.Ready
	}
	for id, s := range b.servers {
		s.leaving.Store(!s.ready)
		if !s.ready { // gets nothing new, so nothing needs to be known of it
			delete(b.servers, id)
		}
		b.listed = b.listed || s.ready
	}
	b.tell(e)
}
