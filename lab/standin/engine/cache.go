package engine

import (
	"container/list"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
)

// cacheEventCapacity is the number of cache events that are kept for readers.
const cacheEventCapacity = 16384

type cacheEvent struct {
	engine.CacheEvent
	at   time.Time
	lost bool
}

// prefixCache keeps the most recently used prefix blocks and the events that report their changes.
type prefixCache struct {
	capacity int
	delay    time.Duration
	// lossThreshold is the fraction of events that is never shown, in units of 1/2^32.
	lossThreshold uint64

	mu     sync.Mutex
	order  *list.List
	blocks map[uint64]*list.Element
	seq    uint64
	ring   []cacheEvent
}

func newPrefixCache(o Options) *prefixCache {
	c := &prefixCache{
		capacity: o.PrefixCacheBlocks, delay: o.CacheEventDelay, lossThreshold: uint64(o.CacheEventLoss * (1 << 32)),
		order: list.New(), blocks: make(map[uint64]*list.Element), ring: make([]cacheEvent, cacheEventCapacity),
	}
	c.addEvent(engine.CacheCleared, 0)
	return c
}

// match returns the number of leading blocks that are cached, and marks them as recently used.
func (c *prefixCache) match(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range hashes {
		element, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// store adds the blocks and evicts the least recently used ones.
func (c *prefixCache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hashes {
		if element, ok := c.blocks[h]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.addEvent(engine.CacheStored, h)
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.addEvent(engine.CacheRemoved, h)
	}
}

// clear removes all blocks, as a model load does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
	c.addEvent(engine.CacheCleared, 0)
}

func (c *prefixCache) addEvent(op engine.CacheOp, block uint64) {
	c.seq++
	// The loss depends only on the sequence number, so that runs are reproducible. A "cleared" event is never lost, since
	// that would leave readers with a permanently wrong state, which no protocol with gaps intends; readers detect the
	// loss of any other event by the gap.
	lost := op != engine.CacheCleared && (c.seq*tokenMix)>>32 < c.lossThreshold
	c.ring[c.seq%cacheEventCapacity] = cacheEvent{
		CacheEvent: engine.CacheEvent{Seq: c.seq, Op: op, Block: block}, at: time.Now(), lost: lost,
	}
}

// page returns the visible events whose sequence number is greater than since.
func (c *prefixCache) page(name string, since uint64) engine.CacheEventPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := engine.CacheEventPage{Engine: name, Next: since, Events: []engine.CacheEvent{}}
	first := since + 1
	if c.seq > cacheEventCapacity && first <= c.seq-cacheEventCapacity {
		first = c.seq - cacheEventCapacity + 1
	}
	for s := first; s <= c.seq; s++ {
		ev := c.ring[s%cacheEventCapacity]
		if time.Since(ev.at) < c.delay {
			break
		}
		page.Next = s
		if !ev.lost {
			page.Events = append(page.Events, ev.CacheEvent)
		}
	}
	return page
}
