package emulate

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func usual() Model {
	return Model{Slots: 8, Queue: 100, BlockTokens: 16, Blocks: 400, StepTokens: 512, StepBase: 0.005, ReadToken: 0.00005, WriteToken: 0.0005,
		ContextToken: 1e-7, StartShare: 1}
}

func engine(t require.TestingT, m Model) (*Clock, *Engine) {
	c := &Clock{}
	e, err := New(m, c)
	require.NoError(t, err)
	return c, e
}

// hashes are of a prompt's whole blocks: text n, the first shared blocks of which are those of text 0.
func hashes(n uint64, tokens, block, shared int) (all []uint64) {
	for i := range tokens / block {
		of := n
		if i < shared {
			of = 0
		}
		all = append(all, of<<32|uint64(i+1))
	}
	return all
}

// log writes down what a job is told.
func log(out *[]string, c *Clock, j *Job) *Job {
	note := func(format string, a ...any) {
		*out = append(*out, fmt.Sprintf("%.9f %d ", c.Now(), j.ID)+fmt.Sprintf(format, a...))
	}
	j.OnStart = func(kept int) { note("begun %d", kept) }
	j.OnToken = func(n int) { note("token %d", n) }
	j.OnEnd = func(how Outcome) { note("%v", how) }
	return j
}

func TestOneJobTakesItsSteps(t *testing.T) {
	c, e := engine(t, usual())
	var out []string
	e.Submit(log(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 600, OutputTokens: 2}))
	require.True(t, c.Drain(100))
	m := usual()
	first := 2*m.StepBase + 600*m.ReadToken // 512 and 88 tokens
	one := m.StepBase + m.WriteToken + 600*m.ContextToken
	two := m.StepBase + m.WriteToken + 601*m.ContextToken
	assert.Equal(t, []string{"0.000000000 1 begun 0", fmt.Sprintf("%.9f 1 token 0", first+one), fmt.Sprintf("%.9f 1 token 1", first+one+two),
		fmt.Sprintf("%.9f 1 done", first+one+two)}, out)
	assert.Zero(t, e.Report())
}

// With no base and a time for each sequence, the batch is a processor shared evenly: M/M/1-PS, whose mean time in
// the system is that of the service over 1-load.
func TestBatchIsASharedProcessor(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		m := Model{Slots: 100000, Queue: 0, BlockTokens: 1 << 20, Blocks: 1 << 20, StepTokens: 1 << 30, WriteToken: 0.001, ReadToken: 1e-12, StartShare: 1}
		c, e := engine(t, m)
		r := rand.New(rand.NewPCG(1, 2))
		const mean, jobs = 50, 150000
		rate := load / (mean * m.WriteToken)
		sum, n, tokens := 0.0, 0, 0
		var arrive func(i int)
		arrive = func(i int) {
			if i == jobs {
				return
			}
			began, answer := c.Now(), 1+int(r.ExpFloat64()*mean)
			tokens += answer
			e.Submit(&Job{ID: uint64(i), Kind: Fetch, PromptTokens: 1, OutputTokens: answer, OnEnd: func(Outcome) {
				if i > jobs/10 {
					sum += c.Now() - began
					n++
				}
			}})
			c.After(r.ExpFloat64()/rate, func() { arrive(i + 1) })
		}
		arrive(0)
		require.True(t, c.Drain(1<<40))
		service := float64(tokens) / jobs * m.WriteToken
		assert.InEpsilon(t, service/(1-rate*service), sum/float64(n), 0.05, "load %v", load)
	}
}

// With one slot and a fixed time it is M/D/1: mean wait load/(2(1-load)) of the service.
func TestOneSlotIsAQueue(t *testing.T) {
	const load, service = 0.7, 0.02
	m := Model{Slots: 1, Queue: 1 << 30, BlockTokens: 1 << 20, Blocks: 4, StepTokens: 1 << 30, StepBase: service, StartShare: 1}
	c, e := engine(t, m)
	r := rand.New(rand.NewPCG(3, 4))
	const jobs = 100000
	sum := 0.0
	var arrive func(i int)
	arrive = func(i int) {
		if i == jobs {
			return
		}
		began := c.Now()
		e.Submit(&Job{ID: uint64(i), Kind: Fetch, PromptTokens: 1, OutputTokens: 1, OnEnd: func(Outcome) { sum += c.Now() - began - service }})
		c.After(r.ExpFloat64()*service/load, func() { arrive(i + 1) })
	}
	arrive(0)
	require.True(t, c.Drain(1<<40))
	assert.InEpsilon(t, load/(2*(1-load))*service, sum/jobs, 0.04)
}

// A long prompt's answer grows until blocks run out: the last that joined is preempted, reads again, and all end.
func TestPreemptionMidAnswer(t *testing.T) {
	m := usual()
	m.Blocks = 80 // 1,280 tokens
	c, e := engine(t, m)
	var out []string
	e.Submit(log(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 900, OutputTokens: 300}))
	c.Run(0.05)
	e.Submit(log(&out, c, &Job{ID: 2, Kind: Write, PromptTokens: 200, OutputTokens: 100}))
	require.True(t, c.Drain(10000))
	assert.Positive(t, e.Preemptions())
	tokens, done := map[string]int{}, 0
	for _, line := range out {
		var at float64
		var id, n int
		if k, _ := fmt.Sscanf(line, "%f %d token %d", &at, &id, &n); k == 3 {
			assert.Equal(t, tokens[fmt.Sprint(id)], n, "no token twice, none left out")
			tokens[fmt.Sprint(id)]++
		}
		if k, _ := fmt.Sscanf(line, "%f %d done", &at, &id); k == 2 && line[len(line)-4:] == "done" {
			done++
		}
	}
	assert.Equal(t, map[string]int{"1": 300, "2": 100}, tokens)
	assert.Equal(t, 2, done)
}

// A burst of small ones fills the batch: the step grows with it, and a token takes longer for all.
func TestBurstFillsTheBatch(t *testing.T) {
	gap := func(n int) float64 {
		m := usual()
		m.WriteToken = 0.005
		c, e := engine(t, m)
		last, sum, k := 0.0, 0.0, 0
		e.Submit(&Job{ID: 1, Kind: Write, PromptTokens: 64, OutputTokens: 50, OnToken: func(int) {
			if last > 0 {
				sum += c.Now() - last
				k++
			}
			last = c.Now()
		}, OnEnd: func(Outcome) {}})
		for i := range n {
			e.Submit(&Job{ID: uint64(2 + i), Kind: Write, PromptTokens: 32, OutputTokens: 60, OnEnd: func(Outcome) {}})
		}
		if n > 10 {
			assert.Equal(t, 8, e.model.Slots)
			assert.Equal(t, n+1-1, e.Report().Waiting, "one steps already, the rest waits for the next step")
		}
		c.Run(0.5)
		return sum / float64(k)
	}
	assert.Greater(t, gap(20), 4*gap(0))
}

func TestSharedBeginningsAreReadOnce(t *testing.T) {
	c, e := engine(t, usual())
	var out []string
	e.Submit(log(&out, c, &Job{ID: 1, Kind: Read, BlockHashes: hashes(1, 320, 16, 10), PromptTokens: 320}))
	require.True(t, c.Drain(100))
	assert.Equal(t, 320, e.HeldTokens(1))
	e.Submit(log(&out, c, &Job{ID: 2, Kind: Write, BlockHashes: hashes(2, 320, 16, 10), PromptTokens: 320, OutputTokens: 1}))
	e.Submit(log(&out, c, &Job{ID: 3, Kind: Write, BlockHashes: hashes(1, 320, 16, 10), PromptTokens: 320, OutputTokens: 1}))
	require.True(t, c.Drain(100))
	text := fmt.Sprint(out)
	assert.Contains(t, text, " 2 begun 160")
	assert.Contains(t, text, " 3 begun 304", "the last block is read: it gives the first token")
	assert.True(t, e.Release(1))
	assert.False(t, e.Release(1))
	assert.Zero(t, e.Report().MemoryUsed, "what is kept is room")
}

func TestPauseFailsNothing(t *testing.T) {
	c, e := engine(t, usual())
	var out []string
	e.Submit(log(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 16, OutputTokens: 3}))
	c.Run(0.007)
	e.SetPaused(true)
	c.Run(5)
	before := len(out)
	e.Submit(log(&out, c, &Job{ID: 2, Kind: Write, PromptTokens: 16, OutputTokens: 1}))
	c.Run(6)
	assert.Equal(t, before, len(out), "it stands still")
	e.SetPaused(false)
	require.True(t, c.Drain(100))
	assert.Contains(t, fmt.Sprint(out), "1 done")
	assert.Contains(t, fmt.Sprint(out), "2 done")
}

func TestColdOneIsSlower(t *testing.T) {
	m := usual()
	m.StartShare, m.Warm = 0.25, 10
	took := func(at float64) float64 {
		c, e := engine(t, m)
		e.Restart()
		c.Run(at)
		e.Submit(&Job{ID: 1, Kind: Write, PromptTokens: 16, OutputTokens: 1, OnEnd: func(Outcome) {}})
		c.Drain(100)
		return c.Now() - at
	}
	assert.InEpsilon(t, 4, took(0)/took(10), 0.02)
}

func TestLinkSharesItsCapacity(t *testing.T) {
	c := &Clock{}
	l := NewLink(100, c)
	var ends []float64
	end := func() { ends = append(ends, c.Now()) }
	l.Send(100, end)
	c.Run(0.5)
	l.Send(100, end) // half of the first has come; both have 50 a second
	cancel := l.Send(1000, end)
	c.Run(0.8)
	cancel()
	require.True(t, c.Drain(100))
	// From 0.5 to 0.8 three share: 10 each. Then two: 40 and 90 are left.
	require.Len(t, ends, 2)
	assert.InDelta(t, 1.6, ends[0], 1e-9)
	assert.InDelta(t, 2.1, ends[1], 1e-9)
	assert.Zero(t, l.ActiveTransfers())
}

// check counts blocks, slots and states from the engine's own records.
func check(t *rapid.T, e *Engine) {
	m := e.memory
	refs := make([]int, len(m.blocks))
	use := func(blocks []int32) {
		for _, at := range blocks {
			refs[at]++
		}
	}
	for _, s := range e.batch {
		use(s.blocks)
		if len(s.blocks) < e.blocksFor(s.tokensInMemory()) && !s.finished {
			t.Fatalf("job %d has %d blocks for %d tokens", s.ID, len(s.blocks), s.tokensInMemory())
		}
	}
	for _, s := range e.waiting {
		if len(s.blocks) > 0 {
			t.Fatalf("job %d waits with blocks", s.ID)
		}
	}
	for _, blocks := range e.heldStates {
		use(blocks)
	}
	used := 0
	for at, n := range refs {
		if m.blocks[at].refs != n {
			t.Fatalf("block %d is used by %d, counted are %d", at, n, m.blocks[at].refs)
		}
		if n > 0 {
			used++
		}
	}
	listed := 0
	for at := m.oldestUnused; at >= 0; at = m.blocks[at].next {
		listed++
		if m.blocks[at].refs != 0 || m.byHash[m.blocks[at].hash] != at {
			t.Fatalf("block %d is among the unused: %+v", at, m.blocks[at])
		}
	}
	if listed != m.unusedCount || used+listed+len(m.free) != len(m.blocks) {
		t.Fatalf("blocks: %d used, %d kept (%d counted), %d free of %d", used, listed, m.unusedCount, len(m.free), len(m.blocks))
	}
	if len(e.batch) > e.model.Slots {
		t.Fatalf("%d in %d slots", len(e.batch), e.model.Slots)
	}
}

func TestNothingIsLostOverRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := usual()
		m.Blocks, m.Slots, m.Queue = rapid.IntRange(12, 60).Draw(t, "blocks"), rapid.IntRange(1, 6).Draw(t, "slots"), 10
		c, e := engine(t, m)
		type record struct {
			tokens, answer int
			kind           JobKind
			ended          bool
			how            Outcome
		}
		jobs := map[uint64]*record{}
		var ids []uint64
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := uint64(len(ids) + 1)
				r := &record{answer: rapid.IntRange(1, 120).Draw(t, "answer"), kind: JobKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
				prompt := rapid.IntRange(1, 400).Draw(t, "prompt")
				ids, jobs[id] = append(ids, id), r
				e.Submit(&Job{ID: id, Kind: r.kind, BlockHashes: hashes(uint64(rapid.IntRange(1, 3).Draw(t, "text")), prompt, 16, 5), PromptTokens: prompt, OutputTokens: r.answer,
					OnToken: func(n int) {
						if r.ended || n != r.tokens {
							t.Fatalf("job %d: token %d after %d, ended %v", id, n, r.tokens, r.ended)
						}
						r.tokens++
					},
					OnEnd: func(how Outcome) {
						if r.ended {
							t.Fatalf("job %d ended twice", id)
						}
						r.ended, r.how = true, how
						if how == Done && r.kind != Read && r.tokens != r.answer {
							t.Fatalf("job %d is done with %d of %d tokens", id, r.tokens, r.answer)
						}
					}})
			},
			"time passes": func(t *rapid.T) { c.Run(c.Now() + rapid.Float64Range(0, 0.3).Draw(t, "s")) },
			"cancel": func(t *rapid.T) {
				if len(ids) > 0 {
					e.Cancel(rapid.SampledFrom(ids).Draw(t, "id"))
				}
			},
			"release": func(t *rapid.T) {
				if len(ids) > 0 {
					e.Release(rapid.SampledFrom(ids).Draw(t, "id"))
				}
			},
			"pause": func(t *rapid.T) { e.SetPaused(rapid.Bool().Draw(t, "so")) },
			"die": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") == 0 {
					e.Kill()
				}
			},
			"": func(t *rapid.T) { check(t, e) },
		})
		e.SetPaused(false)
		for _, id := range ids { // held states may fill the memory: they go, and all ends
			c.Run(c.Now() + 100)
			e.Release(id)
		}
		if !c.Drain(1 << 20) {
			t.Fatal("it never ends")
		}
		for id, r := range jobs {
			if !r.ended {
				t.Fatalf("job %d never ended", id)
			}
		}
		check(t, e)
	})
}

// The same inputs give the same events, to the byte.
func TestSameInputsSameEvents(t *testing.T) {
	play := func(seed uint64) (sum uint64, n int) {
		m := usual()
		m.Blocks = 120
		c, e := engine(t, m)
		var out []string
		r := rand.New(rand.NewPCG(seed, 1))
		for i := range 400 {
			c.After(r.Float64()*20, func() {
				e.Submit(log(&out, c, &Job{ID: uint64(i), Kind: Write, BlockHashes: hashes(uint64(1+i%7), 64+i%300, 16, 4), PromptTokens: 64 + i%300, OutputTokens: 1 + i%90}))
			})
		}
		require.True(t, c.Drain(1<<20))
		h := fnv.New64a()
		for _, line := range out {
			fmt.Fprintln(h, line)
		}
		return h.Sum64(), len(out)
	}
	one, n := play(1)
	again, _ := play(1)
	other, _ := play(2)
	assert.Equal(t, one, again)
	assert.NotEqual(t, one, other)
	assert.Greater(t, n, 1000)
}

func TestModelsThatCannotBe(t *testing.T) {
	for name, change := range map[string]func(*Model){
		"no slots": func(m *Model) { m.Slots = 0 }, "no time": func(m *Model) { m.StepBase, m.ReadToken = 0, 0 },
		"NaN": func(m *Model) { m.WriteToken = math.NaN() }, "start": func(m *Model) { m.StartShare = 0 },
	} {
		m := usual()
		change(&m)
		_, err := New(m, &Clock{})
		assert.ErrorContains(t, err, "wanted", name)
	}
}
