package emulate

import (
	"fmt"
	"math"
)

// Model describes the capacity and the speed of an engine. Times are in seconds.
type Model struct {
	Slots        int     // maximum sequences in a batch
	Queue        int     // maximum jobs that wait for a slot
	BlockTokens  int     // tokens in a block of KV memory
	Blocks       int     // blocks of KV memory
	StepTokens   int     // maximum tokens read and written in one step; limits the prefill chunk
	StepBase     float64 // fixed time of a step: kernel launches, reading the weights from memory
	ReadToken    float64 // added for each prompt token read
	WriteToken   float64 // added for each sequence that writes
	ContextToken float64 // added for each token of context of the sequences that write
	StartShare   float64 // share of its speed that an engine has right after its start; 1 for no warm-up
	Warm         float64 // time from the start to full speed
}

func (model *Model) validate() error {
	switch {
	case model.Slots < 1 || model.Queue < 0 || model.BlockTokens < 1 || model.Blocks < 1 || model.StepTokens < 1:
		return fmt.Errorf("emulate: want slots, block tokens, blocks and step tokens of 1 or more, and a queue of 0 or more: %+v", *model)
	case !(model.StepBase >= 0 && model.ReadToken >= 0 && model.WriteToken >= 0 && model.ContextToken >= 0 && model.Warm >= 0):
		return fmt.Errorf("emulate: want times of 0 or more: %+v", *model)
	case model.StepBase+model.WriteToken <= 0 || model.StepBase+model.ReadToken <= 0:
		return fmt.Errorf("emulate: a step would take no time, want a base time or a time for each token: %+v", *model)
	case !(model.StartShare > 0 && model.StartShare <= 1):
		return fmt.Errorf("emulate: start share is %v, want above 0 and up to 1", model.StartShare)
	}
	return nil
}

// JobKind is the kind of work of a job.
type JobKind uint8

// Job kinds.
const (
	Read  JobKind = iota // reads the prompt and holds its state under the job's ID
	Write                // reads the uncached part of the prompt, and writes
	Fetch                // writes from a state that was transferred; reads nothing
)

// Outcome is how a job ended.
type Outcome uint8

// Outcomes.
const (
	Done       Outcome = iota
	Full               // the queue is full, or the job exceeds the memory
	EngineDied         // the engine died while the job was queued or running
	Cancelled          // cancelled by the caller
)

func (o Outcome) String() string { return [...]string{"done", "full", "gone", "left"}[o] }

// Job is a dispatch as received by an engine.
type Job struct {
	ID           uint64 // unique at this engine
	Kind         JobKind
	BlockHashes  []uint64 // of the prompt's full blocks; each covers all tokens up to the block's end
	PromptTokens int      // 1 or more
	OutputTokens int      // 1 or more; ignored for Read

	OnStart func(cachedTokens int) // called when it first gets a slot, with the prompt tokens found in the cache
	OnToken func(n int)            // called for each output token, counted from 0
	OnEnd   func(Outcome)          // called once, after all other callbacks
}

// sequence is a job that is queued or in the batch.
type sequence struct {
	*Job
	blocks          []int32
	tokensRead      int // tokens in memory, of the prompt and of output written before a preemption
	tokensWritten   int // in total, across preemptions
	recomputeTokens int // part of tokensWritten that has to be read again after a preemption
	started         bool
	chunkTokens     int  // tokens read in the current step
	writing         bool // writes a token in the current step
	stateLost       bool // preempted: a fetched state is gone and the prompt has to be read
	finished        bool
	endReported     bool // OnEnd was called
}

// reportEnd marks a sequence as finished and calls OnEnd, once.
func (s *sequence) reportEnd(outcome Outcome) {
	if s.finished = true; !s.endReported {
		s.endReported = true
		s.OnEnd(outcome)
	}
}

// tokensToRead returns the tokens that must be in memory before the sequence can write.
func (s *sequence) tokensToRead() int { return s.PromptTokens + s.recomputeTokens }

// tokensInMemory returns the tokens that the sequence has in memory.
func (s *sequence) tokensInMemory() int { return s.tokensRead + s.tokensWritten - s.recomputeTokens }

// Report is the load report of an engine.
type Report struct {
	Waiting, Running int
	SlotsUsed        float64 // share of slots in use
	MemoryUsed       float64 // share of blocks in use
	UnreadTokens     int     // tokens still to be read, in the batch and in the queue
}

// Engine models one engine: continuous batching (Yu et al., "Orca", OSDI 2022) with chunked prefill (Agrawal et al.,
// "Sarathi-Serve", OSDI 2024). In each step every sequence that writes gets a token, and the rest of StepTokens goes to
// prompts in order of arrival; new sequences join between steps. When a sequence that writes finds no free block, the
// sequence that joined last is preempted: it loses its blocks, goes to the head of the queue and reads again what it
// had (recomputation). Left out: speculative decoding, priorities, swapping, the time of sampling and of the host.
type Engine struct {
	model          Model
	scheduler      Scheduler
	memory         *memory
	waiting        []*sequence
	batch          []*sequence // in the order of joining
	heldStates     map[uint64][]int32
	startedAt      float64
	slowdown       float64
	paused         bool
	onStepEnd      func() // called at the end of the current step, nil if no step runs
	stepEndPending bool   // the current step ended while the engine was paused
	cancelStep     func()
	lifetime       int  // counts calls of Kill
	admitting      bool // admitWaiting runs; its callbacks must not start a step

	preemptions uint64
}

// New returns a warm engine.
func New(model Model, scheduler Scheduler) (*Engine, error) {
	if err := model.validate(); err != nil {
		return nil, err
	}
	return &Engine{model: model, scheduler: scheduler, memory: newMemory(model.Blocks), heldStates: map[uint64][]int32{},
		startedAt: math.Inf(-1), slowdown: 1}, nil
}

// Restart puts the engine into its state after a cold start: empty, at StartShare of its speed.
func (e *Engine) Restart() {
	e.Kill()
	e.startedAt = e.scheduler.Now()
}

// SetSlowdown multiplies the time of each step by a factor, starting with the next one.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// SetPaused pauses or resumes the engine. A step that ends during a pause is completed at its end. No job fails by a
// pause.
func (e *Engine) SetPaused(paused bool) {
	if e.paused = paused; !paused && e.stepEndPending {
		e.stepEndPending = false
		e.stepDue()
	}
}

// Kill ends all jobs with EngineDied and clears the memory.
func (e *Engine) Kill() {
	e.lifetime++
	if e.cancelStep != nil {
		e.cancelStep()
	}
	e.onStepEnd, e.stepEndPending, e.cancelStep = nil, false, nil
	sequences := append(e.batch, e.waiting...)
	e.batch, e.waiting = nil, nil
	e.memory, e.heldStates = newMemory(e.model.Blocks), map[uint64][]int32{}
	for _, s := range sequences {
		s.reportEnd(EngineDied)
	}
}

// speedShare returns the share of its full speed that the engine has now.
func (e *Engine) speedShare() float64 {
	if e.model.Warm <= 0 {
		return 1
	}
	return math.Min(1, e.model.StartShare+(1-e.model.StartShare)*(e.scheduler.Now()-e.startedAt)/e.model.Warm)
}

// blocksFor returns the number of blocks that hold the given number of tokens.
func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.model.BlockTokens - 1) / e.model.BlockTokens
}

// Submit queues a job. It ends with Full at once if there is no space in the queue or if it can never fit.
func (e *Engine) Submit(j *Job) {
	maxTokens := j.PromptTokens
	if j.Kind != Read {
		maxTokens += j.OutputTokens
	}
	if e.blocksFor(maxTokens) > e.model.Blocks || len(e.waiting) >= e.model.Queue+max(0, e.model.Slots-len(e.batch)) {
		j.OnEnd(Full)
		return
	}
	e.waiting = append(e.waiting, &sequence{Job: j})
	e.startStep()
}

// Cancel ends a job that has not finished.
func (e *Engine) Cancel(id uint64) {
	for i, s := range e.waiting {
		if s.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			s.reportEnd(Cancelled)
			return
		}
	}
	for _, s := range e.batch {
		if s.ID == id && !s.finished {
			s.finished = true // the current step still uses its blocks, they are released at the step's end
			if e.onStepEnd == nil {
				e.removeFinished()
			}
			s.reportEnd(Cancelled)
			return
		}
	}
}

// HeldTokens returns the capacity in tokens of the blocks of a held state, 0 if there is none.
func (e *Engine) HeldTokens(id uint64) int { return len(e.heldStates[id]) * e.model.BlockTokens }

// Release frees a held state and reports whether there was one.
func (e *Engine) Release(id uint64) bool {
	blocks, held := e.heldStates[id]
	if !held {
		return false
	}
	delete(e.heldStates, id)
	e.releaseBlocks(blocks)
	e.startStep()
	return true
}

func (e *Engine) Report() Report {
	r := Report{Waiting: len(e.waiting), Running: len(e.batch), SlotsUsed: float64(len(e.batch)) / float64(e.model.Slots),
		MemoryUsed: e.memory.usedShare()}
	for _, s := range e.batch {
		r.UnreadTokens += s.tokensToRead() - s.tokensRead
	}
	for _, s := range e.waiting {
		if s.Kind != Fetch || s.stateLost {
			r.UnreadTokens += s.tokensToRead()
		}
	}
	return r
}

func (e *Engine) Preemptions() uint64 { return e.preemptions }

func (e *Engine) releaseBlocks(blocks []int32) {
	for _, index := range blocks {
		e.memory.release(index)
	}
}

// startStep starts a step if none runs and there is work.
func (e *Engine) startStep() {
	if e.onStepEnd != nil || e.admitting {
		return
	}
	e.admitting = true // OnStart may submit another job
	e.admitWaiting()
	e.admitting = false
	if len(e.batch) == 0 {
		return
	}
	budget, writers, contextTokens, readTokens := e.model.StepTokens, 0, 0, 0
	for i := 0; i < len(e.batch); i++ { // sequences that write come first
		s := e.batch[i]
		s.writing, s.chunkTokens = false, 0
		if s.Kind == Read || s.tokensRead < s.tokensToRead() || budget == 0 {
			continue
		}
		if !e.allocateFor(s, s.tokensInMemory()+1) {
			break // s itself joined last and was preempted
		}
		s.writing = true
		budget--
	}
	for _, s := range e.batch {
		if s.writing {
			writers++
			contextTokens += s.tokensInMemory()
			continue
		}
		s.chunkTokens = min(budget, s.tokensToRead()-s.tokensRead)
		readTokens += s.chunkTokens
		budget -= s.chunkTokens
	}
	if len(e.batch) == 0 {
		return
	}
	duration := e.model.StepBase + e.model.ReadToken*float64(readTokens) + e.model.WriteToken*float64(writers) +
		e.model.ContextToken*float64(contextTokens)
	e.onStepEnd = e.finishStep
	e.cancelStep = e.scheduler.After(duration*e.slowdown/e.speedShare(), e.stepDue)
}

// admitWaiting moves waiting sequences into the batch, in order, while there are a slot and blocks for the tokens to
// read.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.batch) < e.model.Slots {
		s := e.waiting[0]
		cached := s.BlockHashes[:e.memory.countCached(s.BlockHashes)]
		if len(cached)*e.model.BlockTokens >= s.tokensToRead() { // the last token is always read: it yields the first output token
			cached = cached[:(s.tokensToRead()-1)/e.model.BlockTokens]
		}
		newBlocks := e.blocksFor(s.tokensToRead()) - len(cached)
		if newBlocks+e.memory.countCachedUnused(cached) > e.memory.available() {
			return
		}
		e.waiting = e.waiting[1:]
		for _, h := range cached {
			s.blocks = append(s.blocks, e.memory.acquireCached(h))
		}
		for range newBlocks {
			s.blocks = append(s.blocks, e.memory.allocate())
		}
		s.tokensRead = len(cached) * e.model.BlockTokens
		if s.Kind == Fetch && !s.stateLost {
			s.tokensRead = s.tokensToRead()
			e.registerBlocks(s)
		}
		e.batch = append(e.batch, s)
		if !s.started {
			s.started = true
			if s.OnStart != nil {
				s.OnStart(len(cached) * e.model.BlockTokens)
			}
		}
	}
}

// registerBlocks makes the full blocks of a prompt available to sequences with the same prefix.
func (e *Engine) registerBlocks(s *sequence) {
	for i := range min(len(s.BlockHashes), s.tokensRead/e.model.BlockTokens, len(s.blocks)) {
		e.memory.setHash(s.blocks[i], s.BlockHashes[i])
	}
}

// allocateFor allocates blocks for the given number of tokens of a sequence, preempting the sequence that joined last
// as often as needed. It returns false if that is the sequence itself.
func (e *Engine) allocateFor(s *sequence, tokens int) bool {
	for len(s.blocks) < e.blocksFor(tokens) {
		if index := e.memory.allocate(); index >= 0 {
			s.blocks = append(s.blocks, index)
			continue
		}
		last := e.batch[len(e.batch)-1]
		e.batch = e.batch[:len(e.batch)-1]
		e.preempt(last)
		if last == s {
			return false
		}
	}
	return true
}

func (e *Engine) preempt(s *sequence) {
	e.preemptions++
	s.stateLost = true
	e.releaseBlocks(s.blocks)
	s.blocks, s.tokensRead, s.recomputeTokens, s.writing, s.chunkTokens = nil, 0, s.tokensWritten, false, 0
	e.waiting = append([]*sequence{s}, e.waiting...)
}

func (e *Engine) stepDue() {
	if e.paused {
		e.stepEndPending = true
		return
	}
	finish := e.onStepEnd
	e.onStepEnd, e.cancelStep = nil, nil
	if finish != nil {
		finish()
	}
}

// finishStep applies the results of a step, reports them and starts the next step.
func (e *Engine) finishStep() {
	lifetime := e.lifetime
	type tokenEvent struct {
		s *sequence
		n int
	}
	var written []tokenEvent
	var ended []*sequence
	for _, s := range e.batch {
		switch {
		case s.finished:
		case s.writing:
			written = append(written, tokenEvent{s, s.tokensWritten})
			s.tokensWritten++
			if s.tokensWritten == s.OutputTokens {
				s.finished = true
				ended = append(ended, s)
			}
		case s.chunkTokens > 0:
			s.tokensRead += s.chunkTokens
			e.registerBlocks(s)
			if s.Kind == Read && s.tokensRead >= s.tokensToRead() {
				s.finished = true
				e.heldStates[s.ID] = s.blocks
				s.blocks = nil
				ended = append(ended, s)
			}
		}
	}
	e.removeFinished()
	for _, t := range written { // reported after all state is updated: the callbacks may call the engine
		if !t.s.endReported && t.s.OnToken != nil {
			t.s.OnToken(t.n)
		}
	}
	outcome := Done
	for _, s := range ended {
		if e.lifetime != lifetime { // a callback killed the engine
			outcome = EngineDied
		}
		s.reportEnd(outcome)
	}
	if e.lifetime == lifetime {
		e.startStep()
	}
}

// removeFinished removes finished sequences from the batch and releases their blocks.
func (e *Engine) removeFinished() {
	remaining := e.batch[:0]
	for _, s := range e.batch {
		if s.finished {
			e.releaseBlocks(s.blocks)
			s.blocks = nil
			continue
		}
		remaining = append(remaining, s)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
}
