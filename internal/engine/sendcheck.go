package engine

import (
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// Errors of calls that were not sent because of a check right before their bytes. They say nothing about the engine.
var (
	errSendTimeOver = errors.New("time within which it may be sent is over")
	errNotReady     = errors.New("engine is draining or gone")
)

// readyEngines holds the addresses of the engines that may be sent dispatches. Before the first list, all may. It is safe for concurrent use.
type readyEngines struct {
	mu        sync.Mutex
	addresses map[string]bool // nil before the first list
}

// update applies an engine list.
func (r *readyEngines) update(list *link.EngineList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch list.Kind {
	case decide.ListFailed:
		return
	case decide.ListSnapshot:
		r.addresses = make(map[string]bool, len(list.Entries))
	default:
		if r.addresses == nil {
			r.addresses = map[string]bool{}
		}
	}
	for _, e := range list.Entries {
		if e.Phase == decide.Ready {
			r.addresses[e.Address] = true
		} else {
			delete(r.addresses, e.Address)
		}
	}
}

func (r *readyEngines) contains(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses == nil || r.addresses[address]
}

// UpdateEngines tells the client of an engine list: no dispatch is sent to an engine that is not ready, even if it was decided before.
func (c *Client) UpdateEngines(list *link.EngineList) { c.ready.update(list) }

// checkSend makes the last checks before the first byte of a dispatch is written. Opening its connection may have taken long.
func (c *Client) checkSend(call *Call) error {
	if !call.SendBy.IsZero() && !time.Now().Before(call.SendBy) {
		return fmt.Errorf("%s: %w", call.Address, errSendTimeOver)
	}
	if !c.ready.contains(call.Address) {
		return fmt.Errorf("%s: %w", call.Address, errNotReady)
	}
	return nil
}

// sendTrace has a dispatch checked before its first byte, and ends a write that blocks until it may not be sent any more. wrote is set as soon
// as something may have been written.
func (c *Client) sendTrace(call *Call, wrote *atomic.Bool) *httptrace.ClientTrace {
	var used *engineConn
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used, _ = info.Conn.(*engineConn)
			if used == nil {
				return
			}
			used.beforeWrite = func() error { return c.checkSend(call) }
			if !call.SendBy.IsZero() {
				used.SetWriteDeadline(call.SendBy) //nolint:errcheck // writing to a closed connection fails
			}
		},
		WroteHeaders: func() { wrote.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if used != nil && !call.SendBy.IsZero() {
				used.SetWriteDeadline(time.Time{}) //nolint:errcheck // as above
			}
		},
	}
}
