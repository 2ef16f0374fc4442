package backend

import (
	"bufio"
	"container/list"
	"net"
	"slices"
	"time"
)

// target is an engine as it is reached.
type endpoint struct {
	address   string
	listed    bool
	draining  bool
	goneSince time.Time
	idle      []*conn // last used last

	lastAnswerAt time.Time // its last answer came then
}

// conn is a connection to an engine.
type conn struct {
	net.Conn
	r         *bufio.Reader
	endpoint  *endpoint
	idleSince time.Time // idle

	address string // where it goes: its engine may have moved since

	number      uint64        // counts the client's connections
	lastActive  time.Time     // when it was last seen to work: an answer came on it, or it came up and its engine must not be probed
	idleElement *list.Element // among all that are idle
}

// Engine is where an engine is reached, and whether it drains.
type Engine struct {
	Name, Address string
	Draining      bool
}

// Listed tells of engines that are new or moved. whole: all others have left. What changes costs no more the more engines
// there are.
func (c *Client) UpdateEngines(whole bool, engines []Engine, gone []string) {
	now := time.Now()
	var drop []*conn
	c.mu.Lock()
	if whole {
		gone = c.missingFrom(engines)
	}
	for _, e := range engines {
		t := c.endpoints[e.Name]
		if t == nil {
			t = &endpoint{}
			c.endpoints[e.Name] = t
			c.names = append(c.names, e.Name)
		}
		if t.address != e.Address {
			drop = append(drop, c.takeAllIdle(t)...)
		}
		t.address, t.listed, t.draining, t.goneSince = e.Address, true, e.Draining, time.Time{}
	}
	for _, name := range gone {
		if t := c.endpoints[name]; t != nil && t.listed {
			t.listed, t.goneSince = false, now
			drop = append(drop, c.takeAllIdle(t)...)
		}
	}
	c.mu.Unlock()
	closeAll(drop)
}

// unnamed are the engines known that are not among those named; it is called with the lock.
func (c *Client) missingFrom(engines []Engine) (left []string) {
	named := make(map[string]bool, len(engines))
	for _, e := range engines {
		named[e.Name] = true
	}
	for _, name := range c.names {
		if !named[name] {
			left = append(left, name)
		}
	}
	return left
}

func closeAll(conns []*conn) {
	for _, one := range conns {
		one.Close() //nolint:errcheck // idle
	}
}

// takeOut takes an idle connection from those kept; it is called with the lock.
func (c *Client) removeIdle(one *conn) {
	c.idle.Remove(one.idleElement)
	one.idleElement = nil
	idle := one.endpoint.idle
	if last := len(idle) - 1; idle[last] == one { // as it is for nearly all
		one.endpoint.idle = idle[:last]
		return
	}
	one.endpoint.idle = slices.DeleteFunc(idle, func(other *conn) bool { return other == one })
}

// takeIdle takes the idle connection of an engine that was used last; nil: there is none.
func (c *Client) takeIdle(t *endpoint) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(t.idle) == 0 {
		return nil
	}
	one := t.idle[len(t.idle)-1]
	c.removeIdle(one)
	return one
}

// empty takes all idle connections of an engine; it is called with the lock.
func (c *Client) takeAllIdle(t *endpoint) (all []*conn) {
	for len(t.idle) > 0 {
		one := t.idle[len(t.idle)-1]
		c.removeIdle(one)
		all = append(all, one)
	}
	return all
}

// unusedFor takes out the connection that is unused for longest, if it is for as long; nil if none is. It is called with
// the lock.
func (c *Client) takeIdleFor(least time.Duration) *conn {
	first := c.idle.Front()
	if first == nil {
		return nil
	}
	one := first.Value.(*conn) //nolint:forcetypeassert // nothing else is in it
	if time.Since(one.idleSince) < least {
		return nil
	}
	c.removeIdle(one)
	return one
}

// allUnusedFor takes out all connections that are unused for so long; it is called with the lock.
func (c *Client) takeAllIdleFor(least time.Duration) (all []*conn) {
	for one := c.takeIdleFor(least); one != nil; one = c.takeIdleFor(least) {
		all = append(all, one)
	}
	return all
}

// dropIdle closes the idle connection that was used longest ago, so that another can be made.
func (c *Client) closeLongestIdle() {
	c.mu.Lock()
	one := c.takeIdleFor(0)
	c.mu.Unlock()
	if one != nil {
		one.Close() //nolint:errcheck // idle
	}
}

// Tidy closes connections that were idle too long and forgets engines that are long gone; it is called now and then.
func (c *Client) Prune() {
	now := time.Now()
	c.mu.Lock()
	drop := c.takeAllIdleFor(c.options.EngineIdleTimeout / idleTimeoutDivisor)
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		t := c.endpoints[name]
		lapsed := !t.listed && now.Sub(t.goneSince) > goneEngineRetention
		if lapsed {
			delete(c.endpoints, name)
		}
		return lapsed
	})
	c.mu.Unlock()
	closeAll(drop)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	drop := c.takeAllIdleFor(0)
	c.mu.Unlock()
	closeAll(drop)
	c.dialer.Close()
}

// Idle is how many connections are kept.
func (c *Client) IdleConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// others are engines to ask for a release in another's place, first those that have answered last: that one may be cut off.
func (c *Client) releaseFallbacks(name string) (latest []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.names {
		if other == name || !c.endpoints[other].listed {
			continue
		}
		at, _ := slices.BinarySearchFunc(latest, c.endpoints[other].lastAnswerAt, func(one string, answered time.Time) int {
			return answered.Compare(c.endpoints[one].lastAnswerAt)
		})
		if at >= maxReleaseEngines-1 {
			continue
		}
		latest = slices.Insert(latest, at, other)
		latest = latest[:min(len(latest), maxReleaseEngines-1)]
	}
	return latest
}

// put keeps a connection, if nothing more has come on it, and its engine has neither left nor moved meanwhile.
func (c *Client) returnConn(one *conn) {
	if one.r.Buffered() > 0 || one.SetDeadline(time.Time{}) != nil {
		one.Close() //nolint:errcheck // of no use
		return
	}
	one.idleSince = time.Now()
	c.mu.Lock()
	keep := one.endpoint.listed && one.endpoint.address == one.address && len(one.endpoint.idle) < maxIdleConnsPerEngine
	if keep {
		one.endpoint.idle = append(one.endpoint.idle, one)
		one.idleElement = c.idle.PushBack(one)
	}
	c.mu.Unlock()
	if !keep {
		one.Close() //nolint:errcheck // of no use
	}
}

// forget drops what is kept to an engine that was silent or broke a connection: the others may be as dead, and a new
// one tells at once. It harms an engine whose one connection broke alone, by a few handshakes.
func (c *Client) closeIdleTo(name string) {
	c.mu.Lock()
	var drop []*conn
	if t := c.endpoints[name]; t != nil {
		drop = c.takeAllIdle(t)
	}
	c.mu.Unlock()
	closeAll(drop)
}
