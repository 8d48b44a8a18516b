package control

import (
	"context"
	"sync"
)

// Active holds what is in progress, by key, and can be waited on until nothing is. It is safe for concurrent use.
type Active[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
	// idle is closed when the last value is removed; nil while nobody waits.
	idle chan struct{}
}

// NewActive returns an empty Active.
func NewActive[K comparable, V any]() *Active[K, V] { return &Active[K, V]{values: map[K]V{}} }

// Add adds a value. It returns false if there is one with this key.
func (a *Active[K, V]) Add(key K, value V) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, exists := a.values[key]; exists {
		return false
	}
	a.values[key] = value
	return true
}

// Get returns the value of a key, and false if there is none.
func (a *Active[K, V]) Get(key K) (V, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, ok := a.values[key]
	return v, ok
}

// Remove removes a key.
func (a *Active[K, V]) Remove(key K) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.values, key)
	if len(a.values) == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// Wait waits until nothing is in progress or the context ends.
func (a *Active[K, V]) Wait(ctx context.Context) {
	a.mu.Lock()
	if len(a.values) == 0 {
		a.mu.Unlock()
		return
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
