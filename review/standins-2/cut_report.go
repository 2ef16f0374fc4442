package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["cut-report"] = cutReport }

// cutReport: one stream in twenty is good, but the load report at its end can't be read, as it is cut short. Every stream that its engine has
// finished has to reach its client with its end.
func cutReport(s *scene) error {
	const (
		oneIn   = 20
		clients = 6
		length  = 10 * time.Second
		late    = time.Second + 50*time.Millisecond // of a stream's end at the client
	)
	f := newFleet()
	var mu sync.Mutex
	cut := map[string]bool{}
	f.behave = func(c *call) behaviour {
		b := behaviour{service: 10 * time.Millisecond, tokenPause: 5 * time.Millisecond}
		if c.kind == kindWrite && s.trouble && rand.IntN(oneIn) == 0 {
			b.cutReport = true
			mu.Lock()
			cut[c.id] = true
			mu.Unlock()
			s.note(time.Now(), "engine %s cuts the load report behind its stream for %s short", c.engine, c.id)
		}
		return b
	}
	router, _, err := deployment(s, f, 2, 3, partsAssist.settings(lane{name: "chat", effect: "free", deadline: 5 * time.Second, window: 5 * time.Second}))
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
				q := &request{id: fmt.Sprintf("c%d-%04d", n, turn), class: "chat", tokens: 400, deadline: 5 * time.Second}
				c.do(q)
				sent.add(q)
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		})
	}
	wg.Wait()
	s.noteCalls(f)
	s.noteRequests(sent.all)
	finished := map[string]call{}
	for _, c := range f.list() {
		if c.kind == kindWrite && c.outcome == "served" {
			finished[c.id] = c
		}
	}
	served := 0
	for _, q := range sent.all {
		if q.status == 200 && q.err == nil {
			served++
		}
		c, done := finished[q.id]
		switch {
		case !done || q.status != 200:
		case q.err != nil:
			s.breaks("%s, sent at %.3f: %s had written its stream to the last chunk at %.3f, but the client's ended without one at %.3f (%v)", q.id, s.at(q.sent), c.engine, s.at(c.ended), s.at(q.ended), q.err)
		case q.ended.Sub(c.ended) > late:
			s.breaks("%s, sent at %.3f: the end of its stream came %v late", q.id, s.at(q.sent), q.ended.Sub(c.ended))
		}
	}
	s.note(time.Now(), "%d requests, %d served whole, %d load reports cut short", len(sent.all), served, len(cut))
	if served < len(sent.all)/2 {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent.all))
	}
	return nil
}
