package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

func init() { cases["late-answer"] = lateAnswer }

// lateAnswer: one in twenty streams is followed by a second answer on its connection, 2 to 10 ms late.
func lateAnswer(r *run) error {
	const (
		clients   = 10
		length    = 50 * time.Second
		thinkTime = 150 * time.Millisecond // at most
		oneIn     = 20
	)
	answer := func(c *call) plan {
		p := plan{first: 20 * time.Millisecond, interval: 15 * time.Millisecond, events: 8}
		if r.trouble && c.engine.kind != "prefill" && rand.IntN(oneIn) == 0 {
			p.secondAfter = 2*time.Millisecond + rand.N(8*time.Millisecond)
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
	var mu sync.Mutex
	statuses := map[string]int{}
	for n := range clients {
		all.Go(func() {
			c := &client{run: r, address: rt.listen}
			defer c.close()
			for turn := 0; time.Now().Before(until) && !rt.hasEnded(); turn++ {
				time.Sleep(rand.N(thinkTime))
				q := &request{id: fmt.Sprintf("c%dt%d", n, turn), class: "quote-chat", tokens: 200, deadline: 5 * time.Second}
				r.note("client %d: sends %s", n, q.id)
				c.do(q, 2*time.Second)
				r.note("client %d: %s status %d, %d bytes, error %v", n, q.id, q.status, len(q.body), q.err)
				mu.Lock()
				statuses[fmt.Sprintf("%d, whole %v", q.status, q.err == nil)]++
				mu.Unlock()
				if foreign := foreignEvent(q); foreign != "" {
					r.breaks("%s was served with what no engine made for it: %s", q.id, foreign)
				}
			}
		})
	}
	all.Wait()
	r.note("answers by status: %v", statuses)
	if rt.hasEnded() {
		return fmt.Errorf("the router ended by itself")
	}
	return nil
}

// foreignEvent returns the first event with content in a 200 answer that names another request, or "".
func foreignEvent(q *request) string {
	if q.status != 200 {
		return ""
	}
	for line := range strings.Lines(q.body) {
		if strings.Contains(line, `"content":"[`) && !strings.Contains(line, " "+q.id+" ") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
