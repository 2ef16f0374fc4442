package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: one answer in forty of the engines that write is followed, some milliseconds late, by a second one. Every client has to get
// the events of its own request and no others.
func secondAnswer(s *scene) error {
	const (
		oneIn   = 40
		clients = 6
		length  = 8 * time.Second
	)
	f := newFleet()
	var mu sync.Mutex
	seconds := 0
	f.behave = func(c *call) behaviour {
		b := behaviour{service: 8 * time.Millisecond, tokenPause: 4 * time.Millisecond}
		if c.kind == kindWrite && s.trouble && rand.IntN(oneIn) == 0 {
			b.secondAfter = 2*time.Millisecond + rand.N(6*time.Millisecond)
			mu.Lock()
			seconds++
			mu.Unlock()
			s.note(time.Now(), "engine %s conn %d: a second answer will follow that to %s, %v late", c.engine, c.conn, c.id, b.secondAfter)
		}
		return b
	}
	router, _, _, err := deployment(s, f, 2, 3, ammanQuoting.settings(lane{name: "chat", effect: "free", deadline: 7500 * time.Millisecond, window: 5 * time.Second}), nil)
	if err != nil {
		return err
	}
	defer router.stop()
	var sent collector
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for n := range clients {
		wg.Go(func() {
			c := &client{address: router.listen}
			defer c.close()
			for turn := 0; time.Now().Before(until); turn++ {
				q := &request{id: fmt.Sprintf("c%d-%04d", n, turn), class: "chat", tokens: 60, deadline: 5 * time.Second}
				if turn%4 == 0 {
					q.tokens = 1200
				}
				c.do(q)
				sent.add(q)
				time.Sleep(rand.N(10 * time.Millisecond))
			}
		})
	}
	wg.Wait()
	s.noteCalls(f)
	s.noteRequests(sent.all)
	served := 0
	for _, q := range sent.all {
		if q.status != 200 {
			continue
		}
		served++
		for line := range strings.Lines(q.body) {
			if _, content, found := strings.Cut(line, `"content":"`); found && !strings.HasPrefix(content, `"`) && !strings.HasPrefix(content, q.id+" ") {
				text, _, _ := strings.Cut(content, `"`)
				s.breaks("the answer to %s, sent at %.3f, holds %q, which is of another request", q.id, s.at(q.sent), text)
				break
			}
		}
	}
	s.note(time.Now(), "%d requests, %d served, %d second answers", len(sent.all), served, seconds)
	if router.ended() {
		s.breaks("the router ended by itself: %v", router.err)
	}
	if served < 100 {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent.all))
	}
	return nil
}

// deployment starts engines, discovery and a router. late, unless nil, says how long a new connection to an engine that writes takes to
// come up.
func deployment(s *scene, f *fleet, readers, writers int, settings map[string]any, late func() time.Duration) (*routerProcess, *discovery, []*relay, error) {
	var entries []listEntry
	var relays []*relay
	for i := range readers + writers {
		name, class := fmt.Sprintf("read-%d", i), "prefill"
		if i >= readers {
			name, class = fmt.Sprintf("write-%d", i-readers), "decode"
		}
		e, err := f.start(name, class, i < readers)
		if err != nil {
			return nil, nil, nil, err
		}
		address := e.address()
		if late != nil && i >= readers {
			p, err := startRelay(address, late)
			if err != nil {
				return nil, nil, nil, err
			}
			address, relays = p.address(), append(relays, p)
		}
		entries = append(entries, listEntry{Host: name, Dial: address, Site: "hall", Class: class, Block: 1, Health: "Ready", Share: 1})
	}
	d, err := startDiscovery(entries, s.start)
	if err != nil {
		return nil, nil, nil, err
	}
	router, err := startRouter(s.folder, "n1", d.address(), listAnswer{Seq: 1, Whole: true, Hosts: entries}, settings)
	return router, d, relays, err
}
