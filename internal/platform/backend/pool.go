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
	idle      []*engineConn // last used last

	lastAnswerAt time.Time // its last answer came then
}

// conn is a connection to an engine.
type engineConn struct {
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
func (c *Client) UpdateEngines(snapshot bool, engines []Engine, gone []string) {
	now := time.Now()
	var dropped []*engineConn
	c.mu.Lock()
	if snapshot {
		gone = c.missingFrom(engines)
	}
	for _, e := range engines {
		ep := c.endpoints[e.Name]
		if ep == nil {
			ep = &endpoint{}
			c.endpoints[e.Name] = ep
			c.names = append(c.names, e.Name)
		}
		if ep.address != e.Address {
			dropped = append(dropped, c.takeAllIdle(ep)...)
		}
		ep.address, ep.listed, ep.draining, ep.goneSince = e.Address, true, e.Draining, time.Time{}
	}
	for _, name := range gone {
		if ep := c.endpoints[name]; ep != nil && ep.listed {
			ep.listed, ep.goneSince = false, now
			dropped = append(dropped, c.takeAllIdle(ep)...)
		}
	}
	c.mu.Unlock()
	closeAll(dropped)
}

// unnamed are the engines known that are not among those named; it is called with the lock.
func (c *Client) missingFrom(engines []Engine) (missing []string) {
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		listed[e.Name] = true
	}
	for _, name := range c.names {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

func closeAll(conns []*engineConn) {
	for _, conn := range conns {
		conn.Close() //nolint:errcheck // idle
	}
}

// takeOut takes an idle connection from those kept; it is called with the lock.
func (c *Client) removeIdle(conn *engineConn) {
	c.idle.Remove(conn.idleElement)
	conn.idleElement = nil
	idle := conn.endpoint.idle
	if last := len(idle) - 1; idle[last] == conn { // as it is for nearly all
		conn.endpoint.idle = idle[:last]
		return
	}
	conn.endpoint.idle = slices.DeleteFunc(idle, func(other *engineConn) bool { return other == conn })
}

// takeIdle takes the idle connection of an engine that was used last; nil: there is none.
func (c *Client) takeIdle(ep *endpoint) *engineConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ep.idle) == 0 {
		return nil
	}
	conn := ep.idle[len(ep.idle)-1]
	c.removeIdle(conn)
	return conn
}

// empty takes all idle connections of an engine; it is called with the lock.
func (c *Client) takeAllIdle(ep *endpoint) (all []*engineConn) {
	for len(ep.idle) > 0 {
		conn := ep.idle[len(ep.idle)-1]
		c.removeIdle(conn)
		all = append(all, conn)
	}
	return all
}

// unusedFor takes out the connection that is unused for longest, if it is for as long; nil if none is. It is called with
// the lock.
func (c *Client) takeIdleFor(minIdle time.Duration) *engineConn {
	oldest := c.idle.Front()
	if oldest == nil {
		return nil
	}
	conn := oldest.Value.(*engineConn) //nolint:forcetypeassert // nothing else is in it
	if time.Since(conn.idleSince) < minIdle {
		return nil
	}
	c.removeIdle(conn)
	return conn
}

// allUnusedFor takes out all connections that are unused for so long; it is called with the lock.
func (c *Client) takeAllIdleFor(minIdle time.Duration) (all []*engineConn) {
	for conn := c.takeIdleFor(minIdle); conn != nil; conn = c.takeIdleFor(minIdle) {
		all = append(all, conn)
	}
	return all
}

// dropIdle closes the idle connection that was used longest ago, so that another can be made.
func (c *Client) closeLongestIdle() {
	c.mu.Lock()
	conn := c.takeIdleFor(0)
	c.mu.Unlock()
	if conn != nil {
		conn.Close() //nolint:errcheck // idle
	}
}

// Tidy closes connections that were idle too long and forgets engines that are long gone; it is called now and then.
func (c *Client) Prune() {
	now := time.Now()
	c.mu.Lock()
	dropped := c.takeAllIdleFor(c.options.EngineIdleTimeout / idleTimeoutDivisor)
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		ep := c.endpoints[name]
		expired := !ep.listed && now.Sub(ep.goneSince) > goneEngineRetention
		if expired {
			delete(c.endpoints, name)
		}
		return expired
	})
	c.mu.Unlock()
	closeAll(dropped)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	dropped := c.takeAllIdleFor(0)
	c.mu.Unlock()
	closeAll(dropped)
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
		index, _ := slices.BinarySearchFunc(latest, c.endpoints[other].lastAnswerAt, func(element string, answered time.Time) int {
			return answered.Compare(c.endpoints[element].lastAnswerAt)
		})
		if index >= maxReleaseEngines-1 {
			continue
		}
		latest = slices.Insert(latest, index, other)
		latest = latest[:min(len(latest), maxReleaseEngines-1)]
	}
	return latest
}

// put keeps a connection, if nothing more has come on it, and its engine has neither left nor moved meanwhile.
func (c *Client) returnConn(conn *engineConn) {
	if conn.r.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close() //nolint:errcheck // of no use
		return
	}
	conn.idleSince = time.Now()
	c.mu.Lock()
	keep := conn.endpoint.listed && conn.endpoint.address == conn.address && len(conn.endpoint.idle) < maxIdleConnsPerEngine
	if keep {
		conn.endpoint.idle = append(conn.endpoint.idle, conn)
		conn.idleElement = c.idle.PushBack(conn)
	}
	c.mu.Unlock()
	if !keep {
		conn.Close() //nolint:errcheck // of no use
	}
}

// forget drops what is kept to an engine that was silent or broke a connection: the others may be as dead, and a new
// one tells at once. It harms an engine whose one connection broke alone, by a few handshakes.
func (c *Client) closeIdleTo(name string) {
	c.mu.Lock()
	var dropped []*engineConn
	if ep := c.endpoints[name]; ep != nil {
		dropped = c.takeAllIdle(ep)
	}
	c.mu.Unlock()
	closeAll(dropped)
}
