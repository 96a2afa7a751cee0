package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
)

// BlockTokens is the number of prompt tokens in a block of the prefix cache.
const BlockTokens = 16

// maxCacheEvents is the maximum number of retained cache events.
const maxCacheEvents = 4096

// CacheEvent records that a block of the prefix cache was stored or removed.
type CacheEvent struct {
	// Seq numbers the events consecutively from 1. A missing number indicates a
	// dropped event.
	Seq int64 `json:"seq"`
	// Kind is "stored" or "removed".
	Kind string `json:"kind"`
	// Block is the hash, in hexadecimal, of the prompt up to and including the block.
	Block string    `json:"block"`
	At    time.Time `json:"at"`
}

// prefixCache is an LRU cache of hashes of prompt prefixes. Engine.mu guards it.
type prefixCache struct {
	maxBlocks int
	dropEvery int // drop each event whose number is a multiple of it; 0 drops none
	blocks    map[uint64]*list.Element
	lru       *list.List // most recently used first
	lastSeq   int64
	events    []CacheEvent
}

func newPrefixCache(maxBlocks, dropEvery int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxBlocks, dropEvery: dropEvery, blocks: make(map[uint64]*list.Element), lru: list.New(),
	}
}

// BlockHashes returns the hash of each complete block of the prompt. Each hash
// covers the prompt from its start.
func BlockHashes(prompt []string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockTokens)
	d := xxhash.New()
	for i, word := range prompt {
		_, _ = d.WriteString(word) // never returns an error
		_, _ = d.WriteString(" ")
		if (i+1)%BlockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

// insert stores the prompt's blocks and returns the number of prompt tokens in the
// longest prefix that was cached already.
func (p *prefixCache) insert(prompt []string, now time.Time) (cached int) {
	prefixCached := true
	for _, h := range BlockHashes(prompt) {
		if el, ok := p.blocks[h]; ok {
			p.lru.MoveToFront(el)
			if prefixCached {
				cached += BlockTokens
			}
			continue
		}
		prefixCached = false
		p.blocks[h] = p.lru.PushFront(h)
		p.publish("stored", h, now)
		if p.lru.Len() > p.maxBlocks {
			p.remove(p.lru.Back(), now)
		}
	}
	return cached
}

func (p *prefixCache) remove(el *list.Element, now time.Time) {
	h := p.lru.Remove(el).(uint64)
	delete(p.blocks, h)
	p.publish("removed", h, now)
}

// clear empties the cache. It publishes no events, like a crashed process.
func (p *prefixCache) clear() {
	p.blocks = make(map[uint64]*list.Element)
	p.lru.Init()
}

func (p *prefixCache) publish(kind string, h uint64, now time.Time) {
	p.lastSeq++
	if p.dropEvery > 0 && p.lastSeq%int64(p.dropEvery) == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.lastSeq, Kind: kind, Block: strconv.FormatUint(h, 16), At: now})
	if len(p.events) > maxCacheEvents {
		p.events = append([]CacheEvent(nil), p.events[maxCacheEvents/4:]...)
	}
}

// CacheEvents returns the published events whose numbers are greater than after.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := time.Now().Add(-e.opts.CacheEventLag)
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after && !ev.At.After(newest) {
			events = append(events, ev)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(c echo.Context) error {
	var after int64
	if param := c.QueryParam("after"); param != "" {
		n, err := strconv.ParseInt(param, 10, 64)
		if err != nil {
			return writeError(c, http.StatusBadRequest, "invalid_request_error", "after is not a number")
		}
		after = n
	}
	return c.JSON(http.StatusOK, map[string]any{"events": e.CacheEvents(after)})
}
