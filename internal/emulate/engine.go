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

func (m *Model) check() error {
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
type Kind uint8

// The kinds.
const (
	Read  Kind = iota // reads the prompt and holds its state under the job's ID
	Write             // reads what is not kept of the prompt, and writes
	Fetch             // writes from a state that has come: nothing is read
)

// End is how a job ended.
type End uint8

// The ends.
const (
	Done End = iota
	Full     // no room to wait, or it could never fit
	Gone     // the engine died under it
	Left     // it was cancelled
)

func (e End) String() string { return [...]string{"done", "full", "gone", "left"}[e] }

// Job is one dispatch as an engine sees it.
type Job struct {
	ID     uint64 // unlike any other at this engine
	Kind   Kind
	Hashes []uint64 // of the prompt's whole blocks, each of all up to its end
	Prompt int      // tokens, 1 or more
	Answer int      // tokens to write, 1 or more; of no meaning for Read

	Begun func(kept int) // it has a slot for the first time; so many tokens of its prompt were kept
	Token func(n int)    // its n-th token is written, from 0
	Ended func(End)      // is called once, last
}

// sequence is a job with a place in the queue or the batch.
type sequence struct {
	*Job
	blocks []int32
	read   int // tokens of prompt, and of what was written before a preemption, that are in memory
	wrote  int // tokens that were written, over preemptions
	again  int // of them, those that must be read again
	begun  bool
	chunk  int // read in the step that runs
	writes bool
	lost   bool // its state was fetched, and lost by preemption
	over   bool
	told   bool // its end
}

// end tells a sequence's end, once.
func (s *sequence) end(how End) {
	if s.over = true; !s.told {
		s.told = true
		s.Ended(how)
	}
}

// toRead is how much must be in memory before it writes.
func (s *sequence) toRead() int { return s.Prompt + s.again }

// tokens is how many are in memory.
func (s *sequence) tokens() int { return s.read + s.wrote - s.again }

// Report is an engine's load as its own figures tell it.
type Report struct {
	Waiting, Running int
	Slots            float64 // share in use
	Memory           float64 // share in use
	Unread           int     // tokens that wait to be read, of those in the batch and the queue
}

// Engine is one engine. After continuous batching (Yu et al., "Orca", OSDI 2022) with chunked reads (Agrawal et
// al., "Sarathi-Serve", OSDI 2024): at each step those that write get a token each, what is left of StepTokens
// goes to prompts in order of arrival, new ones join between steps. Where a sequence that writes finds no block,
// the one that joined last is preempted: it loses its blocks, goes to the queue's head, and reads again what it had
// (recomputation). Left out: speculative writing, priorities, swapping, the time of sampling and of the host.
type Engine struct {
	m       Model
	at      Scheduler
	mem     *memory
	waiting []*sequence
	batch   []*sequence // in the order in which they joined
	held    map[uint64][]int32
	started float64
	slower  float64
	paused  bool
	step    func() // what is to be done at the end of the step that runs, nil if none runs
	stuck   bool   // the step's end came during a pause
	cancel  func()
	life    int
	joining bool

	preemptions uint64
}

// New makes an engine that is warm.
func New(m Model, at Scheduler) (*Engine, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return &Engine{m: m, at: at, mem: newMemory(m.Blocks), held: map[uint64][]int32{}, started: math.Inf(-1), slower: 1}, nil
}

// Start has it be as one just started: cold, empty.
func (e *Engine) Start() {
	e.Die()
	e.started = e.at.Now()
}

// Slower makes every step take so many times as long, from the next one on.
func (e *Engine) Slower(times float64) { e.slower = times }

// Pause has it stand still, or go on: a step that runs ends when the pause does. Nothing fails by it.
func (e *Engine) Pause(so bool) {
	if e.paused = so; !so && e.stuck {
		e.stuck = false
		e.endStep()
	}
}

// Die ends all jobs and forgets all memory.
func (e *Engine) Die() {
	e.life++
	if e.cancel != nil {
		e.cancel()
	}
	e.step, e.stuck, e.cancel = nil, false, nil
	all := append(e.batch, e.waiting...)
	e.batch, e.waiting = nil, nil
	e.mem, e.held = newMemory(e.m.Blocks), map[uint64][]int32{}
	for _, s := range all {
		s.end(Gone)
	}
}

// share is the part of its speed that it has.
func (e *Engine) share() float64 {
	if e.m.Warm <= 0 {
		return 1
	}
	return math.Min(1, e.m.StartShare+(1-e.m.StartShare)*(e.at.Now()-e.started)/e.m.Warm)
}

// need is how many blocks so many tokens have.
func (e *Engine) need(tokens int) int { return (tokens + e.m.BlockTokens - 1) / e.m.BlockTokens }

// Submit gives it a job.
func (e *Engine) Submit(j *Job) {
	most := j.Prompt
	if j.Kind != Read {
		most += j.Answer
	}
	if e.need(most) > e.m.Blocks || len(e.waiting) >= e.m.Queue+max(0, e.m.Slots-len(e.batch)) {
		j.Ended(Full)
		return
	}
	e.waiting = append(e.waiting, &sequence{Job: j})
	e.begin()
}

// Cancel ends a job that is not over.
func (e *Engine) Cancel(id uint64) {
	for i, s := range e.waiting {
		if s.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			s.end(Left)
			return
		}
	}
	for _, s := range e.batch {
		if s.ID == id && !s.over {
			s.over = true // its blocks are free at the step's end, as the step uses them
			if e.step == nil {
				e.sweep()
			}
			s.end(Left)
			return
		}
	}
}

// Held is how many tokens' blocks a state has, 0 if there is none.
func (e *Engine) Held(id uint64) int { return len(e.held[id]) * e.m.BlockTokens }

// Release lets go of a state, and tells whether there was one.
func (e *Engine) Release(id uint64) bool {
	blocks, there := e.held[id]
	if !there {
		return false
	}
	delete(e.held, id)
	e.dropAll(blocks)
	e.begin()
	return true
}

// Report tells its load.
func (e *Engine) Report() Report {
	r := Report{Waiting: len(e.waiting), Running: len(e.batch), Slots: float64(len(e.batch)) / float64(e.m.Slots), Memory: e.mem.used()}
	for _, s := range e.batch {
		r.Unread += s.toRead() - s.read
	}
	for _, s := range e.waiting {
		if s.Kind != Fetch || s.lost {
			r.Unread += s.toRead()
		}
	}
	return r
}

// Preemptions is how many there were.
func (e *Engine) Preemptions() uint64 { return e.preemptions }

func (e *Engine) dropAll(blocks []int32) {
	for _, at := range blocks {
		e.mem.drop(at)
	}
}

// begin starts a step if none runs and there is something to do.
func (e *Engine) begin() {
	if e.step != nil || e.joining {
		return
	}
	e.joining = true // who is told that it has a slot may submit another
	e.join()
	e.joining = false
	if len(e.batch) == 0 {
		return
	}
	budget, writing, context, chunk := e.m.StepTokens, 0, 0, 0
	for i := 0; i < len(e.batch); i++ { // those that write come first
		s := e.batch[i]
		s.writes, s.chunk = false, 0
		if s.Kind == Read || s.read < s.toRead() || budget == 0 {
			continue
		}
		if !e.grow(s, s.tokens()+1) {
			break // it was preempted itself, as the last
		}
		s.writes = true
		budget--
	}
	for _, s := range e.batch {
		if s.writes {
			writing++
			context += s.tokens()
			continue
		}
		s.chunk = min(budget, s.toRead()-s.read)
		chunk += s.chunk
		budget -= s.chunk
	}
	if len(e.batch) == 0 {
		return
	}
	d := e.m.StepBase + e.m.ReadToken*float64(chunk) + e.m.WriteToken*float64(writing) + e.m.ContextToken*float64(context)
	e.step = e.stepOver
	e.cancel = e.at.After(d*e.slower/e.share(), e.endStep)
}

// join takes those that wait into the batch, in order, while there is a slot and blocks for what they read.
func (e *Engine) join() {
	for len(e.waiting) > 0 && len(e.batch) < e.m.Slots {
		s := e.waiting[0]
		known := s.Hashes[:e.mem.kept(s.Hashes)]
		if len(known)*e.m.BlockTokens >= s.toRead() { // the last token is read always: it gives the first answer
			known = known[:(s.toRead()-1)/e.m.BlockTokens]
		}
		fresh := e.need(s.toRead()) - len(known)
		if fresh+e.mem.keptUnused(known) > e.mem.room() {
			return
		}
		e.waiting = e.waiting[1:]
		for _, h := range known {
			s.blocks = append(s.blocks, e.mem.share(h))
		}
		for range fresh {
			s.blocks = append(s.blocks, e.mem.take())
		}
		s.read = len(known) * e.m.BlockTokens
		if s.Kind == Fetch && !s.lost {
			s.read = s.toRead()
			e.nameBlocks(s)
		}
		e.batch = append(e.batch, s)
		if !s.begun {
			s.begun = true
			if s.Begun != nil {
				s.Begun(len(known) * e.m.BlockTokens)
			}
		}
	}
}

// nameBlocks makes the prompt's whole blocks known to those that begin alike.
func (e *Engine) nameBlocks(s *sequence) {
	for i := range min(len(s.Hashes), s.read/e.m.BlockTokens, len(s.blocks)) {
		e.mem.name(s.blocks[i], s.Hashes[i])
	}
}

// grow sees to blocks for so many tokens of a sequence, by preemption of the last that joined if it must. It fails
// if that is the sequence itself.
func (e *Engine) grow(s *sequence, tokens int) bool {
	for len(s.blocks) < e.need(tokens) {
		if at := e.mem.take(); at >= 0 {
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
	s.lost = true
	e.dropAll(s.blocks)
	s.blocks, s.read, s.again, s.writes, s.chunk = nil, 0, s.wrote, false, 0
	e.waiting = append([]*sequence{s}, e.waiting...)
}

func (e *Engine) endStep() {
	if e.paused {
		e.stuck = true
		return
	}
	f := e.step
	e.step, e.cancel = nil, nil
	if f != nil {
		f()
	}
}

// stepOver books what a step did, tells it, and begins the next.
func (e *Engine) stepOver() {
	life := e.life
	type told struct {
		s *sequence
		n int
	}
	var tokens []told
	var ended []*sequence
	for _, s := range e.batch {
		switch {
		case s.over:
		case s.writes:
			tokens = append(tokens, told{s, s.wrote})
			s.wrote++
			if s.wrote == s.Answer {
				s.over = true
				ended = append(ended, s)
			}
		case s.chunk > 0:
			s.read += s.chunk
			e.nameBlocks(s)
			if s.Kind == Read && s.read >= s.toRead() {
				s.over = true
				e.held[s.ID] = s.blocks
				s.blocks = nil
				ended = append(ended, s)
			}
		}
	}
	e.sweep()
	for _, t := range tokens { // told after all is booked: who is told may call back
		if !t.s.told && t.s.Token != nil {
			t.s.Token(t.n)
		}
	}
	how := Done
	for _, s := range ended {
		if e.life != life { // it died by what was told
			how = Gone
		}
		s.end(how)
	}
	if e.life == life {
		e.begin()
	}
}

// sweep takes those that are over out of the batch.
func (e *Engine) sweep() {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if s.over {
			e.dropAll(s.blocks)
			s.blocks = nil
			continue
		}
		kept = append(kept, s)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
}
