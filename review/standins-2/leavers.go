package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["leavers"] = leavers }

// leavers: beside some usual clients, bad ones send hundreds of requests at once and go, for 25 s. The router has to stay within its memory, or
// the platform kills it, and the usual clients have to get their final answers in time.
func leavers(s *scene) error {
	const (
		memoryMB = 64
		sockets  = 512
		usual    = 6 // clients
		deadline = 7500 * time.Millisecond
		short    = 3 * time.Second // deadline of the usual clients' tries
		bunch    = 300             // bad clients at once
		pause    = 250 * time.Millisecond
		stay     = 80 * time.Millisecond
		from     = 3 * time.Second
		length   = 28 * time.Second
		grace    = 500*time.Millisecond + 50*time.Millisecond
	)
	s.memoryMB, s.sockets = memoryMB, sockets
	f := newFleet()
	f.behave = func(c *call) behaviour {
		return behaviour{service: 200 * time.Millisecond, tokenPause: 5 * time.Millisecond}
	}
	router, _, err := deployment(s, f, 2, 3, partsAssist.settings(lane{name: "chat", effect: "free", deadline: deadline, window: 5 * time.Second}))
	if err != nil {
		return err
	}
	defer router.stop()
	began, over := time.Now(), make(chan struct{})
	var sent collector
	var wg sync.WaitGroup
	running := func() bool {
		select {
		case <-over:
			return false
		default:
			return time.Since(began) < length
		}
	}
	for n := range usual {
		wg.Go(func() {
			c := &client{address: router.listen}
			defer c.close()
			for turn := 0; running(); turn++ {
				q := &request{id: fmt.Sprintf("c%d-%04d", n, turn), class: "chat", tokens: 400, deadline: short}
				c.do(q)
				sent.add(q)
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		})
	}
	peak := 0
	wg.Go(func() { // the platform
		overFor := 0
		for ; running(); time.Sleep(50 * time.Millisecond) {
			kib := router.memory()
			if peak = max(peak, kib); kib <= memoryMB<<10 {
				overFor = 0
				continue
			}
			if overFor++; overFor == 3 {
				s.breaks("the router has %d MB at %.3f, with a limit of %d: the platform kills it", kib>>10, s.at(time.Now()), memoryMB)
				close(over)
				router.stop()
				return
			}
		}
	})
	bad := 0
	for time.Sleep(from); s.trouble && running(); time.Sleep(pause) {
		s.note(time.Now(), "%d bad clients send a request each and go after %v", bunch, stay)
		for range bunch {
			q := &request{id: fmt.Sprintf("b%06d", bad), class: "chat", tokens: 20, deadline: deadline}
			bad++
			wg.Go(func() {
				c := &client{address: router.listen}
				if c.connect() == nil {
					io.WriteString(c.conn, q.text()) //nolint:errcheck // it goes in any case
					time.Sleep(stay)
					c.close()
				}
			})
		}
	}
	wg.Wait()
	s.noteRequests(sent.all)
	reads, releases, served := 0, 0, 0
	for _, c := range f.list() {
		switch c.kind {
		case kindRead:
			reads++
		case kindRelease:
			releases++
		}
	}
	for _, q := range sent.all {
		if q.status == 200 {
			served++
		}
		if late := q.firstByte.Sub(q.sent) - q.deadline; !q.firstByte.IsZero() && late > grace {
			s.breaks("%s, sent at %.3f: its final answer, %d, begins %v after its time", q.id, s.at(q.sent), q.status, late.Round(time.Millisecond))
		}
	}
	if router.ended() && len(s.broken) == 0 {
		s.breaks("the router ended by itself: %v", router.err)
	}
	s.note(time.Now(), "%d requests of usual clients, %d served; %d of bad ones; engines got %d reads and %d releases; at most %d MB", len(sent.all), served, bad, reads, releases, peak>>10)
	return nil
}
