package emulate

import (
	"fmt"
	"math"
)

// Model is what an engine can do. Times are seconds.
type Model struct {
	Slots        int     // sequences in a batch at most
	Queue        int     // that may wait for a slot
	BlockTokens  int     // of a block of KV memory
	Blocks       int     // of KV memory
	StepTokens   int     // read and written in one step at most: how long prompts are cut
	StepBase     float64 // a step at least: launches, the weights' way through memory
	ReadToken    float64 // more for each token read
	WriteToken   float64 // more for each sequence that writes
	ContextToken float64 // more for each token of context of those that write
	StartShare   float64 // of its speed, just started; 1 for no such thing
	Warm         float64 // until it has all of it
}

func (m *Model) validate() error {
	switch {
	case m.Slots < 1 || m.Queue < 0 || m.BlockTokens < 1 || m.Blocks < 1 || m.StepTokens < 1:
		return fmt.Errorf("emulate: slots, block tokens, blocks and step tokens: wanted 1 or more, queue 0 or more: %+v", *m)
	case !(m.StepBase >= 0 && m.ReadToken >= 0 && m.WriteToken >= 0 && m.ContextToken >= 0 && m.Warm >= 0):
		return fmt.Errorf("emulate: times: wanted 0 or more: %+v", *m)
	case m.StepBase+m.WriteToken <= 0 || m.StepBase+m.ReadToken <= 0:
		return fmt.Errorf("emulate: a step would take no time, wanted a base or a time for each token: %+v", *m)
	case !(m.StartShare > 0 && m.StartShare <= 1):
		return fmt.Errorf("emulate: start share %v: wanted above 0, up to 1", m.StartShare)
	}
	return nil
}

// Kind is what a job wants.
type JobKind uint8

// The kinds.
const (
	Read  JobKind = iota // reads the prompt and holds its state under the job's ID
	Write                // reads what is not kept of the prompt, and writes
	Fetch                // writes from a state that has come: nothing is read
)

// End is how a job ended.
type Outcome uint8

// The ends.
const (
	Done       Outcome = iota
	Full               // no room to wait, or it could never fit
	EngineDied         // the engine died under it
	Cancelled          // it was cancelled
)

func (e Outcome) String() string { return [...]string{"done", "full", "gone", "left"}[e] }

// Job is one dispatch as an engine sees it.
type Job struct {
	ID           uint64 // unlike any other at this engine
	Kind         JobKind
	BlockHashes  []uint64 // of the prompt's whole blocks, each of all up to its end
	PromptTokens int      // tokens, 1 or more
	OutputTokens int      // tokens to write, 1 or more; of no meaning for Read

	OnStart func(kept int) // it has a slot for the first time; so many tokens of its prompt were kept
	OnToken func(n int)    // its n-th token is written, from 0
	OnEnd   func(Outcome)  // is called once, last
}

// sequence is a job with a place in the queue or the batch.
type sequence struct {
	*Job
	blocks          []int32
	tokensRead      int // tokens of prompt, and of what was written before a preemption, that are in memory
	tokensWritten   int // tokens that were written, over preemptions
	recomputeTokens int // of them, those that must be read again
	started         bool
	chunkTokens     int // read in the step that runs
	writing         bool
	stateLost       bool // its state was fetched, and lost by preemption
	finished        bool
	endReported     bool // its end
}

// end tells a sequence's end, once.
func (s *sequence) reportEnd(how Outcome) {
	if s.finished = true; !s.endReported {
		s.endReported = true
		s.OnEnd(how)
	}
}

// toRead is how much must be in memory before it writes.
func (s *sequence) tokensToRead() int { return s.PromptTokens + s.recomputeTokens }

// tokens is how many are in memory.
func (s *sequence) tokensInMemory() int { return s.tokensRead + s.tokensWritten - s.recomputeTokens }

// Report is an engine's load as its own figures tell it.
type Report struct {
	Waiting, Running int
	SlotsUsed        float64 // share in use
	MemoryUsed       float64 // share in use
	UnreadTokens     int     // tokens that wait to be read, of those in the batch and the queue
}

// Engine is one engine. After continuous batching (Yu et al., "Orca", OSDI 2022) with chunked reads (Agrawal et
// al., "Sarathi-Serve", OSDI 2024): at each step those that write get a token each, what is left of StepTokens
// goes to prompts in order of arrival, new ones join between steps. Where a sequence that writes finds no block,
// the one that joined last is preempted: it loses its blocks, goes to the queue's head, and reads again what it had
// (recomputation). Left out: speculative writing, priorities, swapping, the time of sampling and of the host.
type Engine struct {
	model          Model
	scheduler      Scheduler
	memory         *memory
	waiting        []*sequence
	batch          []*sequence // in the order in which they joined
	heldStates     map[uint64][]int32
	startedAt      float64
	slowdown       float64
	paused         bool
	onStepEnd      func() // what is to be done at the end of the step that runs, nil if none runs
	stepEndPending bool   // the step's end came during a pause
	cancelStep     func()
	lifetime       int
	admitting      bool

	preemptions uint64
}

// New makes an engine that is warm.
func New(m Model, at Scheduler) (*Engine, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	return &Engine{model: m, scheduler: at, memory: newMemory(m.Blocks), heldStates: map[uint64][]int32{}, startedAt: math.Inf(-1), slowdown: 1}, nil
}

// Start has it be as one just started: cold, empty.
func (e *Engine) Restart() {
	e.Kill()
	e.startedAt = e.scheduler.Now()
}

// Slower makes every step take so many times as long, from the next one on.
func (e *Engine) SetSlowdown(times float64) { e.slowdown = times }

// Pause has it stand still, or go on: a step that runs ends when the pause does. Nothing fails by it.
func (e *Engine) SetPaused(so bool) {
	if e.paused = so; !so && e.stepEndPending {
		e.stepEndPending = false
		e.stepDue()
	}
}

// Die ends all jobs and forgets all memory.
func (e *Engine) Kill() {
	e.lifetime++
	if e.cancelStep != nil {
		e.cancelStep()
	}
	e.onStepEnd, e.stepEndPending, e.cancelStep = nil, false, nil
	all := append(e.batch, e.waiting...)
	e.batch, e.waiting = nil, nil
	e.memory, e.heldStates = newMemory(e.model.Blocks), map[uint64][]int32{}
	for _, s := range all {
		s.reportEnd(EngineDied)
	}
}

// share is the part of its speed that it has.
func (e *Engine) speedShare() float64 {
	if e.model.Warm <= 0 {
		return 1
	}
	return math.Min(1, e.model.StartShare+(1-e.model.StartShare)*(e.scheduler.Now()-e.startedAt)/e.model.Warm)
}

// need is how many blocks so many tokens have.
func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.model.BlockTokens - 1) / e.model.BlockTokens
}

// Submit gives it a job.
func (e *Engine) Submit(j *Job) {
	most := j.PromptTokens
	if j.Kind != Read {
		most += j.OutputTokens
	}
	if e.blocksFor(most) > e.model.Blocks || len(e.waiting) >= e.model.Queue+max(0, e.model.Slots-len(e.batch)) {
		j.OnEnd(Full)
		return
	}
	e.waiting = append(e.waiting, &sequence{Job: j})
	e.startStep()
}

// Cancel ends a job that is not over.
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
			s.finished = true // its blocks are free at the step's end, as the step uses them
			if e.onStepEnd == nil {
				e.removeFinished()
			}
			s.reportEnd(Cancelled)
			return
		}
	}
}

// Held is how many tokens' blocks a state has, 0 if there is none.
func (e *Engine) HeldTokens(id uint64) int { return len(e.heldStates[id]) * e.model.BlockTokens }

// Release lets go of a state, and tells whether there was one.
func (e *Engine) Release(id uint64) bool {
	blocks, there := e.heldStates[id]
	if !there {
		return false
	}
	delete(e.heldStates, id)
	e.releaseBlocks(blocks)
	e.startStep()
	return true
}

// Report tells its load.
func (e *Engine) Report() Report {
	r := Report{Waiting: len(e.waiting), Running: len(e.batch), SlotsUsed: float64(len(e.batch)) / float64(e.model.Slots), MemoryUsed: e.memory.usedShare()}
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

// Preemptions is how many there were.
func (e *Engine) Preemptions() uint64 { return e.preemptions }

func (e *Engine) releaseBlocks(blocks []int32) {
	for _, at := range blocks {
		e.memory.release(at)
	}
}

// begin starts a step if none runs and there is something to do.
func (e *Engine) startStep() {
	if e.onStepEnd != nil || e.admitting {
		return
	}
	e.admitting = true // who is told that it has a slot may submit another
	e.admitWaiting()
	e.admitting = false
	if len(e.batch) == 0 {
		return
	}
	budget, writing, context, chunk := e.model.StepTokens, 0, 0, 0
	for i := 0; i < len(e.batch); i++ { // those that write come first
		s := e.batch[i]
		s.writing, s.chunkTokens = false, 0
		if s.Kind == Read || s.tokensRead < s.tokensToRead() || budget == 0 {
			continue
		}
		if !e.allocateFor(s, s.tokensInMemory()+1) {
			break // it was preempted itself, as the last
		}
		s.writing = true
		budget--
	}
	for _, s := range e.batch {
		if s.writing {
			writing++
			context += s.tokensInMemory()
			continue
		}
		s.chunkTokens = min(budget, s.tokensToRead()-s.tokensRead)
		chunk += s.chunkTokens
		budget -= s.chunkTokens
	}
	if len(e.batch) == 0 {
		return
	}
	d := e.model.StepBase + e.model.ReadToken*float64(chunk) + e.model.WriteToken*float64(writing) + e.model.ContextToken*float64(context)
	e.onStepEnd = e.finishStep
	e.cancelStep = e.scheduler.After(d*e.slowdown/e.speedShare(), e.stepDue)
}

// join takes those that wait into the batch, in order, while there is a slot and blocks for what they read.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.batch) < e.model.Slots {
		s := e.waiting[0]
		known := s.BlockHashes[:e.memory.countCached(s.BlockHashes)]
		if len(known)*e.model.BlockTokens >= s.tokensToRead() { // the last token is read always: it gives the first answer
			known = known[:(s.tokensToRead()-1)/e.model.BlockTokens]
		}
		fresh := e.blocksFor(s.tokensToRead()) - len(known)
		if fresh+e.memory.countCachedUnused(known) > e.memory.available() {
			return
		}
		e.waiting = e.waiting[1:]
		for _, h := range known {
			s.blocks = append(s.blocks, e.memory.acquireCached(h))
		}
		for range fresh {
			s.blocks = append(s.blocks, e.memory.allocate())
		}
		s.tokensRead = len(known) * e.model.BlockTokens
		if s.Kind == Fetch && !s.stateLost {
			s.tokensRead = s.tokensToRead()
			e.registerBlocks(s)
		}
		e.batch = append(e.batch, s)
		if !s.started {
			s.started = true
			if s.OnStart != nil {
				s.OnStart(len(known) * e.model.BlockTokens)
			}
		}
	}
}

// nameBlocks makes the prompt's whole blocks known to those that begin alike.
func (e *Engine) registerBlocks(s *sequence) {
	for i := range min(len(s.BlockHashes), s.tokensRead/e.model.BlockTokens, len(s.blocks)) {
		e.memory.setHash(s.blocks[i], s.BlockHashes[i])
	}
}

// grow sees to blocks for so many tokens of a sequence, by preemption of the last that joined if it must. It fails
// if that is the sequence itself.
func (e *Engine) allocateFor(s *sequence, tokens int) bool {
	for len(s.blocks) < e.blocksFor(tokens) {
		if at := e.memory.allocate(); at >= 0 {
			s.blocks = append(s.blocks, at)
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
	f := e.onStepEnd
	e.onStepEnd, e.cancelStep = nil, nil
	if f != nil {
		f()
	}
}

// stepOver books what a step did, tells it, and begins the next.
func (e *Engine) finishStep() {
	life := e.lifetime
	type told struct {
		s *sequence
		n int
	}
	var tokens []told
	var ended []*sequence
	for _, s := range e.batch {
		switch {
		case s.finished:
		case s.writing:
			tokens = append(tokens, told{s, s.tokensWritten})
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
	for _, t := range tokens { // told after all is booked: who is told may call back
		if !t.s.endReported && t.s.OnToken != nil {
			t.s.OnToken(t.n)
		}
	}
	how := Done
	for _, s := range ended {
		if e.lifetime != life { // it died by what was told
			how = EngineDied
		}
		s.reportEnd(how)
	}
	if e.lifetime == life {
		e.startStep()
	}
}

// sweep takes those that are over out of the batch.
func (e *Engine) removeFinished() {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if s.finished {
			e.releaseBlocks(s.blocks)
			s.blocks = nil
			continue
		}
		kept = append(kept, s)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
}
