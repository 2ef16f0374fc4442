package edge

import (
	"context"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// Request is what a front tells of a completion.
type Request struct {
	ID                uint64 // of NextID
	ExternalID        string // what engines and the log know it by
	IdempotencyKey    string // Idempotency-Key, empty for none
	TraceParent       string // traceparent, empty for none
	Target            string // of the call, where engines get the client's own; empty for theirs
	Prompt            decide.Prompt
	ArrivedAt         time.Time
	FirstTokenTimeout time.Duration                         // until the first token
	AnswerMargin      time.Duration                         // of it, kept for the way of the final answer
	TotalTimeout      time.Duration                         // until the answer's end
	BuildBody         func(reads bool, state []byte) []byte // of a dispatch; state is a read's, nil for none
	OnDone            func()                                // is called once nothing can come of it any more; may be called again
}

// Client is a completion's client as its front has it: the completion's record calls one of these once.
type Client interface {
	// Relay hands an answer on, event by event or as a whole. ctx ends when the client leaves, run when the
	// dispatch does, whose cause tells why.
	Relay(ctx, run context.Context, s Stream) Answer
	RateLimit(comeBack float64)
	Abort(late bool) // late: the client timeout is spent
	EngineError(status int, body []byte)
}

// Stream is a write's answer. One goroutine at a time may use it; Close may be called twice.
type Stream interface {
	Next() (engine.Event, error)
	HasBufferedEvent() bool // a whole event more has come already
	Usage() (engine.Usage, bool)
	Close() *engine.Result
}

// Engines are the engines by the protocol they speak.
type Engines interface {
	Read(ctx context.Context, call *engine.Call) *engine.Result
	Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (Stream, *engine.Result)
	Release(ctx context.Context, address, id string) error
	Reserve(ctx context.Context, address, id string, tokens float64, lease time.Duration) (held bool, err error)
	Probe(ctx context.Context, address string) ([]float64, error)
}

// vllm is the client of vLLM's calls as Engines.
type vllm struct{ *engine.Client }

// Write is of Engines.
func (v vllm) Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (Stream, *engine.Result) {
	s, bad := v.Client.Write(ctx, cancel, call, timeout)
	if s == nil {
		return nil, bad
	}
	return s, nil
}

// VLLM is a client of vLLM's calls as Engines.
func VLLMEngines(c *engine.Client) Engines { return vllm{c} }

// NextID is a number for the next completion.
func (e *Edge) NextID() uint64 { return e.next.Add(1) }

// Take takes a completion and returns once its client has what it gets. False: it is not taken, and its client
// was told nothing.
func (e *Edge) Handle(ctx context.Context, r *Request, client Client) (Answer, bool) {
	c := &completion{e: e, id: r.ID, r: r, client: client,
		final: make(chan link.Command, 1), begun: make(chan *run, 1), fault: make(chan *engine.Result, 1)}
	e.add(c)
	prompt := r.Prompt
	if !e.planner.Offer(link.Event{Kind: link.CompletionArrived, Completion: r.ID, Deadline: r.ArrivedAt.Add(r.FirstTokenTimeout - r.AnswerMargin), Prompt: &prompt}) {
		e.forget(r.ID)
		r.OnDone()
		return Aborted, false
	}
	e.o.Observer.CompletionAccepted(prompt.Workload)
	how := c.serve(ctx, r.ArrivedAt.Add(r.FirstTokenTimeout-r.AnswerMargin/2), r.ArrivedAt.Add(r.TotalTimeout-r.AnswerMargin/2))
	e.o.Observer.CompletionAnswered(prompt.Workload, how, time.Since(r.ArrivedAt))
	if e.debugs() {
		e.o.Log.Debug("completion answered", "completion", r.ExternalID, "workload", prompt.Workload, "again", prompt.Resumed, "answer", how, "tokens", prompt.Tokens, "shared", prompt.SharedPrefixTokens, "seconds", time.Since(r.ArrivedAt).Seconds())
	}
	c.mu.Lock()
	c.handled = true
	c.mu.Unlock()
	c.settle()
	return how, true
}

// serve waits for what becomes of the completion and answers the client.
func (c *completion) serve(ctx context.Context, deadline, end time.Time) Answer {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-c.begun:
		return c.relay(ctx, r, end)
	case result := <-c.fault:
		return c.giveFault(result)
	case o := <-c.final:
		if c.won.CompareAndSwap(0, answered) {
			return c.giveFinal(o, deadline)
		}
	case <-ctx.Done():
		if c.won.CompareAndSwap(0, answered) {
			c.leave()
			return ClientLeft
		}
	case <-timer.C:
		// The planner is late. That guards against one that is stalled; it answers in time by itself.
		if c.won.CompareAndSwap(0, answered) {
			c.leave()
			return c.giveFinal(link.Command{Kind: link.Abort}, deadline)
		}
	}
	select { // in the same instant an engine's answer won
	case r := <-c.begun:
		return c.relay(ctx, r, end)
	case result := <-c.fault:
		return c.giveFault(result)
	}
}

// giveFault hands on an engine's word that the completion is at fault.
func (c *completion) giveFault(result *engine.Result) Answer {
	c.client.EngineError(result.Status, result.Body)
	return Finished
}

// leave tells the planner that no answer is owed any more, and ends the dispatches.
func (c *completion) leave() {
	c.e.planner.Notify(link.Event{Kind: link.ClientLeft, Completion: c.id})
	c.cancelAll(engine.ErrCancelled)
}

// giveFinal gives the planner's final answer.
func (c *completion) giveFinal(o link.Command, deadline time.Time) Answer {
	if o.Kind == link.RateLimit {
		c.logFinal("rate-limited", deadline)
		c.client.RateLimit(o.RetryAfter)
		return RateLimited
	}
	c.logFinal("aborted", deadline)
	c.client.Abort(time.Until(deadline) <= c.e.o.AnswerMargin)
	return Aborted
}

// logFinal logs an answer that is not an engine's, with what was tried before and the time that was left.
func (c *completion) logFinal(answer string, deadline time.Time) {
	if !c.e.debugs() {
		return
	}
	c.mu.Lock()
	sent, out := len(c.runs), c.out
	c.mu.Unlock()
	c.e.o.Log.Debug("completion given up", "completion", c.r.ExternalID, "answer", answer, "dispatches", sent, "out", out,
		"left", time.Until(deadline).Seconds())
}

// relay hands a dispatch's answer to the client.
func (c *completion) relay(ctx context.Context, r *run, end time.Time) Answer {
	c.e.o.Observer.FirstToken(c.r.Prompt.Workload, time.Since(c.r.ArrivedAt))
	stop := context.AfterFunc(ctx, func() { r.cancel(engine.ErrCancelled) })
	defer stop()
	timer := time.AfterFunc(time.Until(end), func() { r.cancel(engine.ErrTimedOut) })
	defer timer.Stop()
	how := c.client.Relay(ctx, r.ctx, r.stream)
	if how == ClientLeft {
		r.cancel(engine.ErrCancelled)
		c.e.planner.Notify(link.Event{Kind: link.ClientLeft, Completion: c.id})
	}
	result := r.stream.Close()
	result.Done = true
	r.ended(result)
	return how
}
