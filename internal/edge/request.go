package edge

import (
	"context"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// Request describes a completion that a front end passes to Handle.
type Request struct {
	ID                uint64 // from NextID
	ExternalID        string // id used towards engines and in the log
	IdempotencyKey    string // Idempotency-Key header, empty for none
	TraceParent       string // traceparent header, empty for none
	Target            string // the client's request target, if engines get the same; empty for their own
	Prompt            decide.Prompt
	ArrivedAt         time.Time
	FirstTokenTimeout time.Duration
	AnswerMargin      time.Duration                          // part of the timeouts reserved for delivering the final answer
	TotalTimeout      time.Duration                          // until the end of the answer
	BuildBody         func(isRead bool, state []byte) []byte // body of a dispatch; state is the result of a read, nil for none
	OnBodyDone        func()                                 // called once BuildBody is not needed any more, nil for none
	OnDone            func()                                 // called when nothing more can happen to the completion; may be called more than once
}

// Client delivers the answer to a completion's client. Exactly one of its methods is called, once, unless the client leaves first.
type Client interface {
	// Relay delivers an answer, as a stream or complete. ctx ends when the client disconnects, and dispatchCtx when
	// the dispatch does, with the reason as its cause.
	Relay(ctx, dispatchCtx context.Context, s Stream) Answer
	RateLimit(retryAfter float64)
	Abort(timedOut bool) // timedOut: the client timeout has expired
	EngineError(status int, body []byte)
}

// Stream is the answer to a write. It must not be used concurrently. Close may be called twice.
type Stream interface {
	Next() (engine.Event, error)
	HasBufferedEvent() bool // another complete event has already arrived
	Usage() (engine.Usage, bool)
	Close() *engine.Result
}

// Engines calls the engines in the protocol they use.
type Engines interface {
	Read(ctx context.Context, call *engine.Call) *engine.Result
	Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (Stream, *engine.Result)
	Release(ctx context.Context, address, id string) error
	Reserve(ctx context.Context, address, id string, tokens float64, lease time.Duration) (reserved bool, err error)
	Probe(ctx context.Context, address string) ([]float64, error)
}

// vllm adapts engine.Client, the client of the vLLM API, to Engines.
type vllm struct{ *engine.Client }

// Write implements Engines.
func (v vllm) Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (Stream, *engine.Result) {
	s, result := v.Client.Write(ctx, cancel, call, timeout)
	if s == nil {
		return nil, result
	}
	return s, nil
}

// VLLMEngines returns a client of the vLLM API as Engines.
func VLLMEngines(c *engine.Client) Engines { return vllm{c} }

// NextID returns the number for the next completion.
func (e *Edge) NextID() uint64 { return e.lastID.Add(1) }

// Handle runs a completion and returns once its client has been answered. It returns false if the completion was not
// accepted, in which case nothing was sent to the client. A completion whose client has already left is not begun.
func (e *Edge) Handle(ctx context.Context, r *Request, client Client) (Answer, bool) {
	if ctx.Err() != nil {
		r.OnDone()
		return ClientLeft, true
	}
	c := &completion{edge: e, id: r.ID, request: r, client: client,
		finalAnswer: make(chan link.Command, 1), winnerStarted: make(chan *dispatch, 1), engineError: make(chan *engine.Result, 1)}
	e.add(c)
	prompt := r.Prompt
	if !e.planner.Offer(link.Event{Kind: link.CompletionArrived, Completion: r.ID, Deadline: r.ArrivedAt.Add(r.FirstTokenTimeout - r.AnswerMargin), Prompt: &prompt}) {
		e.remove(r.ID)
		r.OnDone()
		return Aborted, false
	}
	e.options.Observer.CompletionAccepted(prompt.Workload)
	answer := c.awaitAnswer(ctx, r.ArrivedAt.Add(r.FirstTokenTimeout-r.AnswerMargin/2), r.ArrivedAt.Add(r.TotalTimeout-r.AnswerMargin/2))
	e.options.Observer.CompletionAnswered(prompt.Workload, answer, time.Since(r.ArrivedAt))
	if e.debugEnabled() {
		e.options.Log.Debug("completion answered", "completion", r.ExternalID, "workload", prompt.Workload, "again", prompt.Resumed, "answer", answer, "tokens", prompt.Tokens, "shared", prompt.SharedPrefixTokens, "seconds", time.Since(r.ArrivedAt).Seconds())
	}
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	c.closeIfDone()
	return answer, true
}

// awaitAnswer waits for the result of the completion and answers the client.
func (c *completion) awaitAnswer(ctx context.Context, deadline, streamEnd time.Time) Answer {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d := <-c.winnerStarted:
		return c.relayDispatch(ctx, d, streamEnd)
	case result := <-c.engineError:
		return c.answerEngineError(result)
	case cmd := <-c.finalAnswer:
		if c.winner.CompareAndSwap(0, answeredWithoutDispatch) {
			return c.answerFinal(cmd, deadline)
		}
	case <-ctx.Done():
		if c.winner.CompareAndSwap(0, answeredWithoutDispatch) {
			c.abandon()
			return ClientLeft
		}
	case <-timer.C:
		// A working planner gives the final answer earlier than this. The timer guards against a stalled one.
		if c.winner.CompareAndSwap(0, answeredWithoutDispatch) {
			c.abandon()
			return c.answerFinal(link.Command{Kind: link.Abort}, deadline)
		}
	}
	select { // a dispatch won at the same moment
	case d := <-c.winnerStarted:
		return c.relayDispatch(ctx, d, streamEnd)
	case result := <-c.engineError:
		return c.answerEngineError(result)
	}
}

// answerEngineError relays an engine's response that the request is invalid.
func (c *completion) answerEngineError(result *engine.Result) Answer {
	c.client.EngineError(result.Status, result.Body)
	return Finished
}

// abandon notifies the planner that no answer is needed any more, and cancels the dispatches.
func (c *completion) abandon() {
	c.edge.planner.Notify(link.Event{Kind: link.ClientLeft, Completion: c.id})
	c.cancelDispatches(engine.ErrCancelled)
}

// answerFinal delivers the planner's final answer.
func (c *completion) answerFinal(cmd link.Command, deadline time.Time) Answer {
	if cmd.Kind == link.RateLimit {
		c.logFinal("rate-limited", deadline)
		c.client.RateLimit(cmd.RetryAfter)
		return RateLimited
	}
	c.logFinal("aborted", deadline)
	c.client.Abort(time.Until(deadline) <= c.edge.options.AnswerMargin)
	return Aborted
}

// logFinal logs a final answer that did not come from an engine, with the dispatches before it and the time that was left.
func (c *completion) logFinal(answer string, deadline time.Time) {
	if !c.edge.debugEnabled() {
		return
	}
	c.mu.Lock()
	total, active := len(c.dispatches), c.activeDispatches
	c.mu.Unlock()
	c.edge.options.Log.Debug("completion given up", "completion", c.request.ExternalID, "answer", answer, "dispatches", total, "out", active,
		"left", time.Until(deadline).Seconds())
}

// relayDispatch relays the answer of the winning dispatch to the client.
func (c *completion) relayDispatch(ctx context.Context, d *dispatch, streamEnd time.Time) Answer {
	c.edge.options.Observer.FirstToken(c.request.Prompt.Workload, time.Since(c.request.ArrivedAt))
	stop := context.AfterFunc(ctx, func() { d.cancel(engine.ErrCancelled) })
	defer stop()
	timer := time.AfterFunc(time.Until(streamEnd), func() { d.cancel(engine.ErrTimedOut) })
	defer timer.Stop()
	answer := c.client.Relay(ctx, d.ctx, d.stream)
	if answer == ClientLeft {
		d.cancel(engine.ErrCancelled)
		c.edge.planner.Notify(link.Event{Kind: link.ClientLeft, Completion: c.id})
	}
	result := d.stream.Close()
	result.Answered = true
	d.finish(result)
	return answer
}
