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

// control makes a call without a body and returns the answer's status, body and head.
func (c *Client) control(ctx context.Context, name, method, target string, req request) (int, []byte, *http1.Head, error) {
	text := bodylessRequest(method, target)
	req.engine, req.build = name, func() ([][]byte, error) { return [][]byte{text}, nil }
	resp, _, err := c.do(ctx, req)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%s %s at %s: %w", method, target, name, err)
	}
	body, err := http1.ReadBody(resp.conn.r, resp.head, limits, nil)
	resp.finish(err == nil && !resp.head.NoLength)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%s %s at %s: %w", method, target, name, err)
	}
	return resp.head.Status, body, resp.head, nil
}

// Request targets of calls without a body.
const (
	roomsPath = "/bootstrap/rooms/"
	loadPath  = "/metrics/load"
)

// bodylessRequest returns the bytes of a request without a body.
func bodylessRequest(method, target string) []byte {
	return []byte(method + " " + target + " HTTP/1.1\r\nHost: engine\r\nContent-Length: 0\r\n\r\n")
}

// Reserve asks a writer to reserve KV cache space for the completion. After an error it is unknown whether the reservation is
// held.
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
	return false, fmt.Errorf("reservation at %s: status %d", name, status)
}

// Release frees everything that any engine holds for the completion. Any engine accepts the call. If no answer comes soon, the
// same engine is called again on a new connection, because all idle ones may have gone silent, and then other engines in parallel
// until one of them answers. maxHedgedReleases bounds the calls made in parallel to others: if answers are slow because this router is
// overloaded, more calls would only slow them further.
func (c *Client) Release(ctx context.Context, name, id string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	remaining := append([]string{name, name}, c.releaseFallbacks(name)...)
	results := make(chan error, len(remaining))
	wait := firstReleaseRetryDelay
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastErr error
	newConn := false
	for pending := 0; pending > 0 || len(remaining) > 0; {
		select {
		case <-timer.C:
			if len(remaining) == 0 {
				continue
			}
			hedged := pending > 0
			if hedged && !c.beginHedge() {
				timer.Reset(nextReleaseRetryDelay)
				continue
			}
			go func(engineName string, newConn bool) {
				err := c.releaseAt(ctx, engineName, id, newConn)
				if hedged {
					c.hedgedReleases.Add(-1)
				}
				results <- err
			}(remaining[0], newConn)
			remaining, pending, newConn = remaining[1:], pending+1, true
			timer.Reset(wait)
			wait = nextReleaseRetryDelay
		case err := <-results:
			pending--
			if err == nil {
				return nil
			}
			lastErr = err
			timer.Reset(0)
		case <-ctx.Done():
			return fmt.Errorf("release of %s: %w", id, errors.Join(context.Cause(ctx), lastErr))
		}
	}
	return lastErr
}

// beginHedge reports whether one more release may be sent in parallel to another, and counts it.
func (c *Client) beginHedge() bool {
	if c.hedgedReleases.Add(1) <= maxHedgedReleases {
		return true
	}
	c.hedgedReleases.Add(-1)
	return false
}

// releaseAt sends the release to one engine. newConn forces a new connection.
func (c *Client) releaseAt(ctx context.Context, name, id string, newConn bool) error {
	status, _, _, err := c.control(ctx, name, "DELETE", roomsPath+id, request{requirement: connRequirement{newConn: newConn}})
	if err == nil && status != 204 {
		err = fmt.Errorf("release at %s: status %d", name, status)
	}
	return err
}

// Limits of a release, which is sent to one engine after another.
const (
	maxReleaseEngines      = 6
	maxHedgedReleases      = 32                    // of all releases together
	firstReleaseRetryDelay = 60 * time.Millisecond // from the first attempt to the second
	nextReleaseRetryDelay  = 25 * time.Millisecond // between later attempts
)

// Probe fetches an engine's load report.
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
