package catalog

import (
	"sync"
	"sync/atomic"

	"teaselbank.example/teaselbank/config"
)

// Source gives the catalog of the bundle in force.
type Source interface {
	// Current returns the catalog of the bundle in force, or nil if there is none yet.
	Current() *Catalog
}

// Cache builds the catalog once for each bundle and publishes it atomically. Current never returns the catalog of an
// earlier bundle than the one in force: the first reader after a change builds the next one.
type Cache struct {
	source  config.Source
	current atomic.Pointer[Catalog]
	mu      sync.Mutex
}

// NewCache returns a cache of the source's bundle.
func NewCache(source config.Source) *Cache { return &Cache{source: source} }

// Current returns the catalog of the bundle in force, or nil. It takes a lock only while a new bundle is indexed.
func (c *Cache) Current() *Catalog {
	force := c.source.Current()
	if force == nil {
		return nil
	}
	if cur := c.current.Load(); cur != nil && cur.InForce == force {
		return cur
	}
	return c.rebuild()
}

func (c *Cache) rebuild() *Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The source is read again under the lock, so that a slow reader does not put an earlier bundle back.
	force := c.source.Current()
	cur := c.current.Load()
	if cur != nil && cur.InForce == force {
		return cur
	}
	next := Build(force, cur)
	c.current.Store(next)
	return next
}
