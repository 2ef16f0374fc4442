package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["repeat-window"] = repeatWindow }

// repeatWindow: in each of 16 rounds, traffic is doubled for 1.5 s and then usual for 2.5 s, in which the connections to one engine that writes
// are reset, while the two others hang for 0.26 to 0.29 s. The requests are of a guarded class. No attempt may arrive later than the class's
// window after the first one that may have run.
func repeatWindow(s *scene) error {
	const (
		window  = time.Second
		slack   = 50*time.Millisecond + 150*time.Millisecond // of every time limit on sockets, and for a router that is held up
		rounds  = 16
		busy    = 1500 * time.Millisecond
		usual   = 2500 * time.Millisecond
		every   = 30 * time.Millisecond // a request, in usual traffic
		timeout = 5 * time.Second
	)
	f := newFleet()
	f.behave = func(c *call) behaviour {
		if c.kind == kindRead {
			return behaviour{service: 10 * time.Millisecond}
		}
		return behaviour{service: 800*time.Millisecond + rand.N(600*time.Millisecond), tokenPause: 30 * time.Millisecond, events: 8}
	}
	router, engines, err := deployment(s, f, 2, 3, partsAssist.settings(lane{name: "order", effect: "guarded", deadline: timeout, window: window}))
	if err != nil {
		return err
	}
	defer router.stop()
	var sent collector
	var wg sync.WaitGroup
	idle := make(chan *client, 1000)
	n := 0
	send := func(length, every time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); n++ {
			id := fmt.Sprintf("q%04d", n)
			wg.Go(func() {
				var c *client
				select {
				case c = <-idle:
				default:
					c = &client{address: router.listen}
				}
				q := &request{id: id, class: "order", tokens: 600, deadline: timeout}
				c.do(q)
				sent.add(q)
				idle <- c
			})
			time.Sleep(every)
		}
	}
	for range rounds {
		send(busy, every/2)
		first := usual/2 + rand.N(usual/4)
		send(first, every)
		if s.trouble {
			victim, until := 2, time.Now().Add(260*time.Millisecond+rand.N(30*time.Millisecond))
			for i := range engines[2:] {
				if f.openWrites(engines[2+i].name) > f.openWrites(engines[victim].name) {
					victim = 2 + i
				}
			}
			s.note(time.Now(), "the connections of engine %s are reset, and the others that write hang until %.3f", engines[victim].name, s.at(until))
			for i := 2; i < len(engines); i++ {
				if i != victim {
					engines[i].hang(until)
				}
			}
			engines[victim].reset()
		}
		send(usual-first, every)
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
