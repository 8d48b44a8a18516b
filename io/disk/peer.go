package disk

import (
	"sync"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/settings"
)

const rank = 10

func init() { control.Register(control.Peer{Name: "disk", Rank: rank, Open: open}) }

// writer is the goroutine that writes the kernel's Persist actions to the store.
type writer struct {
	store *Store
	loop  *control.Loop

	mu     sync.Mutex
	queue  []core.Persist
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

func open(h *control.Host) (control.Instance, error) {
	if !h.Settings.HasRole(settings.RoleKeeper) {
		return control.Instance{}, nil
	}
	store, stored, err := Open(h.Settings.DataDir)
	if err != nil {
		return control.Instance{}, err
	}
	h.Env.Disk = store.Disk()
	h.Env.StoredState = stored
	w := &writer{store: store, loop: h.Loop, wake: make(chan struct{}, 1), done: make(chan struct{})}
	notes := newNoteWriter(store, h.Log)
	started := false
	return control.Instance{
		Start: func() {
			started = true
			go w.run()
			go notes.run()
		},
		Perform: func(a core.Action) {
			switch a := a.(type) {
			case core.Persist:
				w.enqueue(a)
			case core.SaveOrigins, core.SaveQuarantine:
				notes.perform(a)
			}
		},
		Close: func() {
			if started {
				w.close()
				notes.close()
			}
			store.Close()
		},
	}, nil
}

func (w *writer) enqueue(p core.Persist) {
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	signal(w.wake)
}

// signal wakes the goroutine that receives from a channel with room for one element.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	signal(w.wake)
	<-w.done
}

// run writes all actions that were queued during the previous write as one batch.
func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		batch, closed := w.queue, w.closed
		w.queue = nil
		w.mu.Unlock()
		if len(batch) > 0 {
			w.write(batch)
		}
		if closed {
			return
		}
	}
}

func (w *writer) write(batch []core.Persist) {
	if err := w.store.Persist(batch); err != nil {
		w.loop.Post(core.DiskFailed{Reason: err.Error()})
		return
	}
	w.loop.Post(core.Persisted{Seq: batch[len(batch)-1].Seq})
}
