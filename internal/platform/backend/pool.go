package backend

import (
	"bufio"
	"container/list"
	"net"
	"slices"
	"time"
)

// endpoint is an engine's address and its idle connections.
type endpoint struct {
	address   string
	listed    bool
	draining  bool
	goneSince time.Time
	idle      []*engineConn // most recently used last

	lastAnswerAt time.Time // when its last answer came
}

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	r         *bufio.Reader
	endpoint  *endpoint
	idleSince time.Time // when it became idle

	address string // that it was dialled to; the engine may have moved since

	number      uint64        // counted per client
	lastActive  time.Time     // when the last answer came; without one, if probes are not allowed, when it was established
	idleElement *list.Element // its place in Client.idle
}

// EngineEntry is an entry of the engine list.
type EngineEntry struct {
	Name, Address string
	Draining      bool
}

// UpdateEngines applies a change of the engine list: engines that are new or have changed, and the names of those that have
// left. If snapshot is set, engines is the whole list, all others have left, and gone is ignored. Otherwise the cost of a
// change does not grow with the number of engines.
func (c *Client) UpdateEngines(snapshot bool, engines []EngineEntry, gone []string) {
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

// missingFrom returns the names of the known engines that are not in the list. The lock must be held.
func (c *Client) missingFrom(engines []EngineEntry) (missing []string) {
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

// removeIdle removes a connection from the idle ones. The lock must be held.
func (c *Client) removeIdle(conn *engineConn) {
	c.idle.Remove(conn.idleElement)
	conn.idleElement = nil
	idle := conn.endpoint.idle
	if last := len(idle) - 1; idle[last] == conn { // the usual case
		conn.endpoint.idle = idle[:last]
		return
	}
	conn.endpoint.idle = slices.DeleteFunc(idle, func(other *engineConn) bool { return other == conn })
}

// takeIdle takes the most recently used idle connection to an engine, or nil if there is none.
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

// takeAllIdle takes all idle connections to an engine. The lock must be held.
func (c *Client) takeAllIdle(ep *endpoint) (all []*engineConn) {
	for len(ep.idle) > 0 {
		conn := ep.idle[len(ep.idle)-1]
		c.removeIdle(conn)
		all = append(all, conn)
	}
	return all
}

// takeIdleFor takes the connection that has been idle the longest, if that is at least minIdle, and nil otherwise. The lock
// must be held.
func (c *Client) takeIdleFor(minIdle time.Duration) *engineConn {
	oldest := c.idle.Front()
	if oldest == nil {
		return nil
	}
	conn := oldest.Value.(*engineConn) //nolint:forcetypeassert // the list holds nothing else
	if time.Since(conn.idleSince) < minIdle {
		return nil
	}
	c.removeIdle(conn)
	return conn
}

// takeAllIdleFor takes all connections that have been idle for at least minIdle. The lock must be held.
func (c *Client) takeAllIdleFor(minIdle time.Duration) (all []*engineConn) {
	for conn := c.takeIdleFor(minIdle); conn != nil; conn = c.takeIdleFor(minIdle) {
		all = append(all, conn)
	}
	return all
}

// closeLongestIdle closes the connection that has been idle the longest, so that another can be opened.
func (c *Client) closeLongestIdle() {
	c.mu.Lock()
	conn := c.takeIdleFor(0)
	c.mu.Unlock()
	if conn != nil {
		conn.Close() //nolint:errcheck // idle
	}
}

// Prune closes connections that have been idle for too long and forgets engines that left long ago. It is to be called
// periodically.
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

// IdleConns returns the number of idle connections.
func (c *Client) IdleConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// releaseFallbacks returns other engines to which a release can be sent if the named engine cannot be reached. Those that
// answered most recently come first.
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

// returnConn puts a connection back into the pool. It is closed instead if unread data has come on it, if its engine has left
// or moved meanwhile, or if there are enough idle ones.
func (c *Client) returnConn(conn *engineConn) {
	if conn.r.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close() //nolint:errcheck // not usable
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
		conn.Close() //nolint:errcheck // not usable
	}
}

// closeIdleTo closes the idle connections to an engine that was silent or broke a connection: the others have probably failed
// too, and a new one shows the engine's condition at once. If only the one connection was broken, this costs the engine a few
// extra handshakes.
func (c *Client) closeIdleTo(name string) {
	c.mu.Lock()
	var dropped []*engineConn
	if ep := c.endpoints[name]; ep != nil {
		dropped = c.takeAllIdle(ep)
	}
	c.mu.Unlock()
	closeAll(dropped)
}
