package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline: clients send eight requests at once on a connection, each with a deadline of 3 s. An answer takes 0.8 s. Every request has to get
// its final answer in time, and no attempt may tell its engine more time than is left to the client. Without the trouble, clients send the
// same requests one at a time.
func pipeline(s *scene) error {
	const (
		clients  = 4
		bunches  = 3
		bunch    = 8
		deadline = 3 * time.Second
		grace    = 500 * time.Millisecond // after its time, in which an answer earns nothing
		slack    = 50 * time.Millisecond
		told     = 150 * time.Millisecond // slack of the time that an attempt tells its engine
	)
	f := newFleet()
	f.behave = func(c *call) behaviour {
		if c.kind == kindRead {
			return behaviour{service: 50 * time.Millisecond}
		}
		return behaviour{service: 250 * time.Millisecond, tokenPause: 100 * time.Millisecond, events: 6}
	}
	router, _, err := deployment(s, f, 2, 3, partsAssist.settings(lane{name: "chat", effect: "free", deadline: deadline, window: 5 * time.Second}))
	if err != nil {
		return err
	}
	defer router.stop()
	var sent collector
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for turn := range bunches {
				c := &client{address: router.listen}
				var all []*request
				text := ""
				for i := range bunch {
					q := &request{id: fmt.Sprintf("c%d-%d-%d", n, turn, i), class: "chat", tokens: 400, deadline: deadline}
					all, text = append(all, q), text+q.text()
					sent.add(q)
				}
				if !s.trouble {
					for _, q := range all {
						c.do(q)
					}
					c.close()
					continue
				}
				if c.connect() != nil {
					continue
				}
				_, err := io.WriteString(c.conn, text)
				for _, q := range all {
					q.sent, q.err = time.Now(), err
				}
				for _, q := range all {
					if c.conn != nil && q.err == nil {
						c.receive(q)
					}
				}
				c.close()
			}
		})
	}
	wg.Wait()
	s.noteCalls(f)
	s.noteRequests(sent.all)
	byID, late, served := map[string]*request{}, 0, 0
	for _, q := range sent.all {
		byID[q.id] = q
		if q.status == 200 {
			served++
		}
		if !q.firstByte.IsZero() && q.firstByte.Sub(q.sent) > q.deadline+grace+slack {
			late++
			s.breaks("%s: the final answer, %d, begins %v after the request was sent, with a deadline of %v", q.id, q.status, q.firstByte.Sub(q.sent).Round(time.Millisecond), q.deadline)
		}
	}
	for _, c := range f.list() {
		q := byID[c.id]
		if q == nil || c.kind != kindRead && c.kind != kindWrite {
			continue
		}
		ms, err := strconv.ParseFloat(strings.TrimSuffix(c.deadline, "m"), 64)
		left := q.deadline - c.received.Sub(q.sent)
		if told := time.Duration(ms*float64(time.Millisecond)) - told; err == nil && told > max(0, left)+slack {
			s.breaks("%s: the %s at %s tells its engine %s when %v is left to the client", c.id, c.kind, c.engine, c.deadline, left.Round(time.Millisecond))
		}
	}
	s.note(time.Now(), "%d requests, %d served, %d answered late", len(sent.all), served, late)
	if served < clients*bunches {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent.all))
	}
	return nil
}
