package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["repeat-window"] = repeatWindow }

// repeatWindow: every three seconds all connections to the engines that write are reset, and new ones to them come up late, by up to 0.15 s.
// The requests are of a guarded class. No attempt may arrive later than the class's window after the first one that may have run.
func repeatWindow(s *scene) error {
	const (
		window  = time.Second
		slack   = 50 * time.Millisecond // of every time limit on sockets
		length  = 45 * time.Second
		every   = 20 * time.Millisecond // a request
		period  = 3 * time.Second       // from one reset to the next
		timeout = 5 * time.Second
		maxLate = 150 * time.Millisecond
	)
	f := newFleet()
	f.behave = func(c *call) behaviour {
		if c.kind == kindRead {
			return behaviour{service: 10 * time.Millisecond}
		}
		return behaviour{service: 800*time.Millisecond + rand.N(600*time.Millisecond), tokenPause: 30 * time.Millisecond, events: 8}
	}
	late := func() time.Duration { return 0 }
	if s.trouble {
		late = func() time.Duration { return rand.N(maxLate) }
	}
	router, _, relays, err := deployment(s, f, 2, 3, partsAssist.settings(lane{name: "order", effect: "guarded", deadline: timeout, window: window}), late)
	if err != nil {
		return err
	}
	defer router.stop()
	var sent collector
	var wg sync.WaitGroup
	idle := make(chan *client, 1000)
	began, nextReset := time.Now(), time.Now().Add(period)
	for n := 0; time.Since(began) < length; n++ {
		if s.trouble && time.Now().After(nextReset) {
			s.note(time.Now(), "all connections to the engines that write are reset")
			for _, p := range relays {
				p.reset()
			}
			nextReset = time.Now().Add(period)
		}
		wg.Go(func() {
			var c *client
			select {
			case c = <-idle:
			default:
				c = &client{address: router.listen}
			}
			q := &request{id: fmt.Sprintf("q%04d", n), class: "order", tokens: 600, deadline: timeout}
			c.do(q)
			sent.add(q)
			idle <- c
		})
		time.Sleep(every)
	}
	wg.Wait()
	s.noteCalls(f)
	s.noteRequests(sent.all)
	writes := map[string][]call{}
	for _, c := range f.list() {
		if c.kind == kindWrite {
			writes[c.id] = append(writes[c.id], c)
		}
	}
	resets, served, repeats := 0, 0, 0
	for _, q := range sent.all {
		if q.status == 200 {
			served++
		}
		all := writes[q.id]
		slices.SortFunc(all, func(a, b call) int { return a.received.Compare(b.received) })
		first := slices.IndexFunc(all, func(c call) bool { return c.outcome != "state gone, not run" })
		if first < 0 {
			continue
		}
		if all[first].outcome == "connection ended" {
			resets++
		}
		for _, c := range all[first+1:] {
			repeats++
			if after := c.received.Sub(all[first].received); after > window+slack && c.outcome != "state gone, not run" {
				s.breaks("%s: its write at %s, %v after the one at %s that may have run, is outside the window of %v", q.id, c.engine, after.Round(time.Millisecond), all[first].engine, window)
			}
		}
	}
	s.note(time.Now(), "%d requests, %d served, %d resets, %d repeats", len(sent.all), served, resets, repeats)
	if served < len(sent.all)/3 {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent.all))
	}
	return nil
}
