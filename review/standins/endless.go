package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

func init() { cases["endless"] = endless }

// endless: one in ten streams is spoilt after half of its events and never ends, though small whole chunks keep coming: in half of these
// streams an event whose line never ends, in the others load reports on comment lines and no event.
func endless(r *run) error {
	const (
		clients  = 10
		length   = 15 * time.Second // in which clients send
		patience = 20 * time.Second // that a client waits for the end of its connection
		limit    = 5 * time.Second  // after the last event, by the page
		slack    = time.Second
		oneIn    = 10
	)
	var mu sync.Mutex
	spoiltAt := map[string]time.Time{}
	answer := func(c *call) plan {
		p := plan{first: 20 * time.Millisecond, interval: 15 * time.Millisecond, events: 8}
		if r.trouble && c.engine.kind != "prefill" && rand.IntN(oneIn) == 0 {
			p.tail = func(conn net.Conn) {
				mu.Lock()
				spoiltAt[c.id] = time.Now()
				mu.Unlock()
				text, more, form := "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"", "oqvh ", "an event that never ends"
				if rand.IntN(2) == 0 {
					text, more, form = ": X-Load: "+load+"\n\n", ": X-Load: "+load+"\n\n", "load reports and no event"
				}
				r.note("engine %s conn %d: the last event of %s has been written; then %s", c.engine.name, c.conn, c.id, form)
				for until := time.Now().Add(length + patience); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
					if _, err := fmt.Fprint(conn, chunk(text)); err != nil {
						r.note("engine %s conn %d: the router has closed the connection of %s", c.engine.name, c.conn, c.id)
						return
					}
					text = more
				}
			}
		}
		return p
	}
	var entries []discovery.EngineEntry
	for name, kind := range map[string]string{"s-1": "prefill", "s-2": "decode", "s-3": "decode", "s-4": "mixed"} {
		e, err := startEngine(r, name, kind, answer)
		if err != nil {
			return err
		}
		defer e.close()
		entries = append(entries, e.entry())
	}
	d, err := standin.StartDiscovery(entries)
	if err != nil {
		return err
	}
	defer d.Close()
	rt, err := startRouter(r.dir, &deployment{memoryMB: 128, sockets: 512, classes: []class{{"quote-chat", "free", 7500 * time.Millisecond}}}, d.Address(), entries)
	if err != nil {
		return err
	}
	defer rt.stop(5 * time.Second)
	until := time.Now().Add(length)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			c := &client{run: r, address: rt.listen}
			defer c.close()
			for turn := 0; time.Now().Before(until) && !rt.hasEnded(); turn++ {
				time.Sleep(rand.N(300 * time.Millisecond))
				q := &request{id: fmt.Sprintf("c%dt%d", n, turn), class: "quote-chat", tokens: 200, deadline: 5 * time.Second}
				r.note("client %d: sends %s", n, q.id)
				c.do(q, patience)
				r.note("client %d: %s status %d, %d bytes, error %v", n, q.id, q.status, len(q.body), q.err)
				mu.Lock()
				at, spoilt := spoiltAt[q.id]
				mu.Unlock()
				if waited := q.ended.Sub(at); spoilt && q.status == 200 && waited > limit+slack {
					r.breaks("%s: its client was left waiting for %.1f s after the last event, and its connection had not ended", q.id, waited.Seconds())
				}
			}
		})
	}
	all.Wait()
	if rt.hasEnded() {
		return fmt.Errorf("the router ended by itself")
	}
	return nil
}
