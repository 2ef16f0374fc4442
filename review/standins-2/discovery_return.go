package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["discovery-return"] = discoveryReturn }

// discoveryReturn: discovery is down for some seconds, several times. During each outage an engine that writes begins to drain, of which the
// agent learns at the return; after the drain it comes back. Nothing new may be sent to it once the drain grace is over.
func discoveryReturn(s *scene) error {
	const (
		grace   = 250 * time.Millisecond
		slack   = 50 * time.Millisecond // of every time limit on sockets
		rounds  = 8
		outage  = 8 * time.Second
		drain   = 3 * time.Second
		every   = 10 * time.Millisecond // a request
		timeout = 4 * time.Second
	)
	f := newFleet()
	f.behave = func(c *call) behaviour {
		return behaviour{service: 8 * time.Millisecond, tokenPause: 5 * time.Millisecond}
	}
	router, d, _, err := deployment(s, f, 2, 3, tallinnRefunds.settings(lane{name: "desk", effect: "free", deadline: timeout, window: 5 * time.Second}), nil)
	if err != nil {
		return err
	}
	defer router.stop()
	var sent collector
	var wg sync.WaitGroup
	stop := make(chan struct{})
	idle := make(chan *client, 1000)
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				var c *client
				select {
				case c = <-idle:
				default:
					c = &client{address: router.listen}
				}
				q := &request{id: fmt.Sprintf("q%05d", n), class: "desk", tokens: 60, deadline: timeout}
				c.do(q)
				sent.add(q)
				idle <- c
			})
		}
	})
	type drainTime struct {
		engine   string
		from, to time.Time
	}
	var drains []drainTime
	for round := range rounds {
		time.Sleep(time.Second)
		entry := d.entry(fmt.Sprintf("write-%d", round%3))
		entry.Health = "Terminating"
		var from time.Time
		if s.trouble {
			d.setDown()
			s.note(time.Now(), "discovery is down")
			time.Sleep(outage/2 + rand.N(outage/2))
			d.update(entry)
			from = d.setUp()
			s.note(from, "discovery is back, and the agent has that %s drains", entry.Host)
		} else {
			time.Sleep(time.Second)
			d.update(entry)
			from = time.Now()
			s.note(from, "the agent has that %s drains", entry.Host)
		}
		time.Sleep(drain)
		entry.Health = "Ready"
		drains = append(drains, drainTime{entry.Host, from, time.Now()})
		d.update(entry)
	}
	close(stop)
	wg.Wait()
	s.noteRequests(sent.all)
	s.noteCalls(f)
	for _, line := range d.told() {
		s.lines = append(s.lines, line)
	}
	for _, dr := range drains {
		count, last := 0, time.Duration(0)
		for _, c := range f.list() {
			if after := c.received.Sub(dr.from); c.engine == dr.engine && (c.kind == kindRead || c.kind == kindWrite) && after > grace+slack && c.received.Before(dr.to) {
				count, last = count+1, max(last, after)
			}
		}
		if count > 0 {
			s.breaks("%s, of whose drain the agent had told from %.3f on, got %d new requests later than %v after, the last %v after", dr.engine, s.at(dr.from), count, grace+slack, last.Round(time.Millisecond))
		}
	}
	s.note(time.Now(), "%d requests", len(sent.all))
	return nil
}

// entry returns the current entry of an engine.
func (d *discovery) entry(host string) listEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.list.Hosts {
		if e.Host == host {
			return e
		}
	}
	return listEntry{}
}

// told returns what was answered, for the record.
func (d *discovery) told() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.answers...)
}
