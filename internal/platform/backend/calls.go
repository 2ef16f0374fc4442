package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// small makes a call without a body and gives its status and body.
func (c *Client) control(ctx context.Context, name, method, target string, how request) (int, []byte, *http1.Head, error) {
	text := bodylessRequest(method, target)
	how.engine, how.build = name, func() ([][]byte, error) { return [][]byte{text}, nil }
	a, _, err := c.do(ctx, how)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%s %s at %s: %w", method, target, name, err)
	}
	body, err := http1.ReadBody(a.conn.r, a.head, limits, nil)
	a.finish(err == nil && !a.head.NoLength)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%s %s at %s: %w", method, target, name, err)
	}
	return a.head.Status, body, a.head, nil
}

// The targets of calls without a body.
const (
	roomsPath = "/bootstrap/rooms/"
	loadPath  = "/metrics/load"
)

// smallCall is the text of a call without a body.
func bodylessRequest(method, target string) []byte {
	return []byte(method + " " + target + " HTTP/1.1\r\nHost: engine\r\nContent-Length: 0\r\n\r\n")
}

// Hold asks a writer for a place for the completion. An error: it is not known whether it is held.
func (c *Client) Reserve(ctx context.Context, name, id string, _ float64, _ time.Duration) (bool, error) {
	status, _, _, err := c.control(ctx, name, "POST", roomsPath+id, request{startsWork: true})
	switch {
	case err != nil:
		return false, err
	case status == 200:
		return true, nil
	case status == 409:
		return false, nil
	}
	return false, fmt.Errorf("place at %s: status %d", name, status)
}

// Release lets go of all that any engine holds for the completion. Any engine takes it: where there is no answer soon, the same
// engine is asked on a new connection, as the kept ones may all have fallen silent, and then others beside it, until one has
// answered.
func (c *Client) Release(ctx context.Context, name, id string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ask := append([]string{name, name}, c.releaseFallbacks(name)...)
	ended := make(chan error, len(ask))
	wait := firstReleaseWait
	next := time.NewTimer(0)
	defer next.Stop()
	var last error
	anew := false
	for out := 0; out > 0 || len(ask) > 0; {
		select {
		case <-next.C:
			if len(ask) == 0 {
				continue
			}
			go func(at string, anew bool) { ended <- c.releaseAt(ctx, at, id, anew) }(ask[0], anew)
			ask, out, anew = ask[1:], out+1, true
			next.Reset(wait)
			wait = nextReleaseWait
		case err := <-ended:
			out--
			if err == nil {
				return nil
			}
			last = err
			next.Reset(0)
		case <-ctx.Done():
			return fmt.Errorf("release of %s: %w", id, errors.Join(context.Cause(ctx), last))
		}
	}
	return last
}

// releaseAt has one engine let go of all. anew: by a connection of its own.
func (c *Client) releaseAt(ctx context.Context, name, id string, anew bool) error {
	status, _, _, err := c.control(ctx, name, "DELETE", roomsPath+id, request{requirement: connRequirement{newConn: anew}})
	if err == nil && status != 204 {
		err = fmt.Errorf("release at %s: status %d", name, status)
	}
	return err
}

// A release is asked of so many engines, one after another.
const (
	maxReleaseEngines = 6
	firstReleaseWait  = 60 * time.Millisecond // the first is waited for, until the next is asked
	nextReleaseWait   = 25 * time.Millisecond // each other one
)

// Probe asks an engine for its load.
func (c *Client) Probe(ctx context.Context, name string) ([]float64, error) {
	if !c.options.ProbesAllowed {
		return nil, engine.ErrProbeSkipped
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, body, head, err := c.control(ctx, name, "GET", loadPath, request{})
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("probe of %s: status %d", name, status)
	}
	report := c.parseReport(bytes.TrimSpace(body))
	if report == nil {
		report = c.reportInHead(head)
	}
	return report, nil
}
