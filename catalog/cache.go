package catalog

import (
	"sync"
	"sync/atomic"

	"teaselbank.example/teaselbank/config"
)

// Source provides the catalog of the bundle in force.
type Source interface {
	// Current returns the catalog of the bundle in force. Nil means that no bundle is in force yet.
	Current() *Catalog
}

// Cache builds one catalog for each bundle and publishes it atomically. Current never returns the catalog of a bundle
// that is no longer in force: the first reader after a change builds the new catalog.
type Cache struct {
	source  config.Source
	current atomic.Pointer[Catalog]
	mu      sync.Mutex
}

// NewCache returns a cache of the catalog of the bundle that is in force in source.
func NewCache(source config.Source) *Cache { return &Cache{source: source} }

// Current returns the catalog of the bundle in force. Nil means that no bundle is in force yet. Current takes a lock
// only if the catalog of a new bundle must be built.
func (c *Cache) Current() *Catalog {
	inForce := c.source.Current()
	if inForce == nil {
		return nil
	}
	if cur := c.current.Load(); cur != nil && cur.InForce == inForce {
		return cur
	}
	return c.rebuild()
}

func (c *Cache) rebuild() *Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The source is read again under the lock, so that a slow reader does not restore an earlier catalog.
	inForce := c.source.Current()
	cur := c.current.Load()
	if cur != nil && cur.InForce == inForce {
		return cur
	}
	next := Build(inForce, cur)
	c.current.Store(next)
	return next
}
