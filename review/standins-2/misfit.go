package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["misfit"] = misfit }

// misfit: one stream in twenty is spoilt in its opening: the size of its first chunk does not fit, and takes in the second chunk. Every request
// has to get its final answer.
func misfit(s *scene) error {
	const (
		oneIn   = 20
		clients = 6
		length  = 10 * time.Second
	)
	f := newFleet()
	var mu sync.Mutex
	spoilt := 0
	f.behave = func(c *call) behaviour {
		b := behaviour{service: 10 * time.Millisecond, tokenPause: 5 * time.Millisecond}
		if c.kind == kindWrite && s.trouble && rand.IntN(oneIn) == 0 {
			b.misfit = true
			mu.Lock()
			spoilt++
			mu.Unlock()
			s.note(time.Now(), "engine %s spoils the opening of its stream for %s", c.engine, c.id)
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
	writes := map[string]int{}
	for _, c := range f.list() {
		if c.kind == kindWrite {
			writes[c.id]++
		}
	}
	served := 0
	for _, q := range sent.all {
		if q.status == 200 {
			served++
		}
		if q.firstByte.IsZero() && !q.sent.IsZero() {
			s.breaks("%s, sent at %.3f: no answer, its connection ended at %.3f (%v); writes of it at engines: %d", q.id, s.at(q.sent), s.at(q.ended), q.err, writes[q.id])
		}
	}
	s.note(time.Now(), "%d requests, %d served, %d streams spoilt", len(sent.all), served, spoilt)
	if served < len(sent.all)/2 {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent.all))
	}
	return nil
}
