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

func testModel() Model {
	return Model{Slots: 8, Queue: 100, BlockTokens: 16, Blocks: 400, StepTokens: 512, StepBase: 0.005, ReadToken: 0.00005, WriteToken: 0.0005,
		ContextToken: 1e-7, StartShare: 1}
}

func newTestEngine(t require.TestingT, m Model) (*Clock, *Engine) {
	c := &Clock{}
	e, err := New(m, c)
	require.NoError(t, err)
	return c, e
}

// blockHashes returns the hashes of a prompt's full blocks. The prompt has text n, except for its first shared blocks,
// which have text 0.
func blockHashes(text uint64, tokens, blockTokens, shared int) (hashes []uint64) {
	for i := range tokens / blockTokens {
		owner := text
		if i < shared {
			owner = 0
		}
		hashes = append(hashes, owner<<32|uint64(i+1))
	}
	return hashes
}

// logEvents appends the callbacks of a job to out.
func logEvents(out *[]string, c *Clock, j *Job) *Job {
	record := func(format string, a ...any) {
		*out = append(*out, fmt.Sprintf("%.9f %d ", c.Now(), j.ID)+fmt.Sprintf(format, a...))
	}
	j.OnStart = func(cachedTokens int) { record("started %d", cachedTokens) }
	j.OnToken = func(n int) { record("token %d", n) }
	j.OnEnd = func(outcome Outcome) { record("%v", outcome) }
	return j
}

func TestSingleJobStepTimes(t *testing.T) {
	c, e := newTestEngine(t, testModel())
	var out []string
	e.Submit(logEvents(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 600, OutputTokens: 2}))
	require.True(t, c.Drain(100))
	m := testModel()
	readTime := 2*m.StepBase + 600*m.ReadToken // two chunks, of 512 and 88 tokens
	firstToken := m.StepBase + m.WriteToken + 600*m.ContextToken
	secondToken := m.StepBase + m.WriteToken + 601*m.ContextToken
	assert.Equal(t, []string{"0.000000000 1 started 0", fmt.Sprintf("%.9f 1 token 0", readTime+firstToken),
		fmt.Sprintf("%.9f 1 token 1", readTime+firstToken+secondToken),
		fmt.Sprintf("%.9f 1 done", readTime+firstToken+secondToken)}, out)
	assert.Zero(t, e.Report())
}

// With no fixed step time and a time for each sequence, the batch is a processor-sharing queue (M/M/1-PS): the mean
// time in the system is the service time divided by 1-load.
func TestBatchIsProcessorSharing(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		m := Model{Slots: 100000, Queue: 0, BlockTokens: 1 << 20, Blocks: 1 << 20, StepTokens: 1 << 30, WriteToken: 0.001, ReadToken: 1e-12, StartShare: 1}
		c, e := newTestEngine(t, m)
		r := rand.New(rand.NewPCG(1, 2))
		const mean, jobs = 50, 150000
		rate := load / (mean * m.WriteToken)
		sum, n, tokens := 0.0, 0, 0
		var arrive func(i int)
		arrive = func(i int) {
			if i == jobs {
				return
			}
			arrived, outputTokens := c.Now(), 1+int(r.ExpFloat64()*mean)
			tokens += outputTokens
			e.Submit(&Job{ID: uint64(i), Kind: Fetch, PromptTokens: 1, OutputTokens: outputTokens, OnEnd: func(Outcome) {
				if i > jobs/10 {
					sum += c.Now() - arrived
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

// With one slot and a fixed step time the engine is an M/D/1 queue: the mean wait is load/(2(1-load)) of the service
// time.
func TestSingleSlotIsMD1Queue(t *testing.T) {
	const load, service = 0.7, 0.02
	m := Model{Slots: 1, Queue: 1 << 30, BlockTokens: 1 << 20, Blocks: 4, StepTokens: 1 << 30, StepBase: service, StartShare: 1}
	c, e := newTestEngine(t, m)
	r := rand.New(rand.NewPCG(3, 4))
	const jobs = 100000
	sum := 0.0
	var arrive func(i int)
	arrive = func(i int) {
		if i == jobs {
			return
		}
		arrived := c.Now()
		e.Submit(&Job{ID: uint64(i), Kind: Fetch, PromptTokens: 1, OutputTokens: 1, OnEnd: func(Outcome) { sum += c.Now() - arrived - service }})
		c.After(r.ExpFloat64()*service/load, func() { arrive(i + 1) })
	}
	arrive(0)
	require.True(t, c.Drain(1<<40))
	assert.InEpsilon(t, load/(2*(1-load))*service, sum/jobs, 0.04)
}

// The output for a long prompt grows until blocks run out: the sequence that joined last is preempted and reads again,
// and both jobs complete.
func TestPreemptionDuringOutput(t *testing.T) {
	m := testModel()
	m.Blocks = 80 // 1,280 tokens
	c, e := newTestEngine(t, m)
	var out []string
	e.Submit(logEvents(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 900, OutputTokens: 300}))
	c.Run(0.05)
	e.Submit(logEvents(&out, c, &Job{ID: 2, Kind: Write, PromptTokens: 200, OutputTokens: 100}))
	require.True(t, c.Drain(10000))
	assert.Positive(t, e.Preemptions())
	tokens, done := map[string]int{}, 0
	for _, line := range out {
		var at float64
		var jobID, n int
		if k, _ := fmt.Sscanf(line, "%f %d token %d", &at, &jobID, &n); k == 3 {
			assert.Equal(t, tokens[fmt.Sprint(jobID)], n, "tokens come in order, each once")
			tokens[fmt.Sprint(jobID)]++
		}
		if k, _ := fmt.Sscanf(line, "%f %d done", &at, &jobID); k == 2 && line[len(line)-4:] == "done" {
			done++
		}
	}
	assert.Equal(t, map[string]int{"1": 300, "2": 100}, tokens)
	assert.Equal(t, 2, done)
}

// Many small jobs fill the batch: steps get longer, and so does the time between tokens of every job.
func TestBurstSlowsEveryToken(t *testing.T) {
	tokenInterval := func(others int) float64 {
		m := testModel()
		m.WriteToken = 0.005
		c, e := newTestEngine(t, m)
		last, sum, intervals := 0.0, 0.0, 0
		e.Submit(&Job{ID: 1, Kind: Write, PromptTokens: 64, OutputTokens: 50, OnToken: func(int) {
			if last > 0 {
				sum += c.Now() - last
				intervals++
			}
			last = c.Now()
		}, OnEnd: func(Outcome) {}})
		for i := range others {
			e.Submit(&Job{ID: uint64(2 + i), Kind: Write, PromptTokens: 32, OutputTokens: 60, OnEnd: func(Outcome) {}})
		}
		if others > 10 {
			assert.Equal(t, 8, e.model.Slots)
			assert.Equal(t, others+1-1, e.Report().Waiting, "one job is in the current step, the others wait for the next")
		}
		c.Run(0.5)
		return sum / float64(intervals)
	}
	assert.Greater(t, tokenInterval(20), 4*tokenInterval(0))
}

func TestSharedPrefixesAreReadOnce(t *testing.T) {
	c, e := newTestEngine(t, testModel())
	var out []string
	e.Submit(logEvents(&out, c, &Job{ID: 1, Kind: Read, BlockHashes: blockHashes(1, 320, 16, 10), PromptTokens: 320}))
	require.True(t, c.Drain(100))
	assert.Equal(t, 320, e.HeldTokens(1))
	e.Submit(logEvents(&out, c, &Job{ID: 2, Kind: Write, BlockHashes: blockHashes(2, 320, 16, 10), PromptTokens: 320, OutputTokens: 1}))
	e.Submit(logEvents(&out, c, &Job{ID: 3, Kind: Write, BlockHashes: blockHashes(1, 320, 16, 10), PromptTokens: 320, OutputTokens: 1}))
	require.True(t, c.Drain(100))
	text := fmt.Sprint(out)
	assert.Contains(t, text, " 2 started 160")
	assert.Contains(t, text, " 3 started 304", "the last block is read again: it yields the first token")
	assert.True(t, e.Release(1))
	assert.False(t, e.Release(1))
	assert.Zero(t, e.Report().MemoryUsed, "cached blocks do not count as used")
}

func TestPauseFailsNothing(t *testing.T) {
	c, e := newTestEngine(t, testModel())
	var out []string
	e.Submit(logEvents(&out, c, &Job{ID: 1, Kind: Write, PromptTokens: 16, OutputTokens: 3}))
	c.Run(0.007)
	e.SetPaused(true)
	c.Run(5)
	eventsBefore := len(out)
	e.Submit(logEvents(&out, c, &Job{ID: 2, Kind: Write, PromptTokens: 16, OutputTokens: 1}))
	c.Run(6)
	assert.Equal(t, eventsBefore, len(out), "no events during the pause")
	e.SetPaused(false)
	require.True(t, c.Drain(100))
	assert.Contains(t, fmt.Sprint(out), "1 done")
	assert.Contains(t, fmt.Sprint(out), "2 done")
}

func TestColdEngineIsSlower(t *testing.T) {
	m := testModel()
	m.StartShare, m.Warm = 0.25, 10
	timeOfOneJob := func(start float64) float64 {
		c, e := newTestEngine(t, m)
		e.Restart()
		c.Run(start)
		e.Submit(&Job{ID: 1, Kind: Write, PromptTokens: 16, OutputTokens: 1, OnEnd: func(Outcome) {}})
		c.Drain(100)
		return c.Now() - start
	}
	assert.InEpsilon(t, 4, timeOfOneJob(0)/timeOfOneJob(10), 0.02)
}

func TestLinkSharesCapacityEvenly(t *testing.T) {
	c := &Clock{}
	l := NewLink(100, c)
	var ends []float64
	onDone := func() { ends = append(ends, c.Now()) }
	l.Send(100, onDone)
	c.Run(0.5)
	l.Send(100, onDone) // half of the first is transferred; both get 50 tokens a second
	cancel := l.Send(1000, onDone)
	c.Run(0.8)
	cancel()
	require.True(t, c.Drain(100))
	// From 0.5 to 0.8 three transfers share the link: 10 tokens each. Then two do: 40 and 90 tokens are left.
	require.Len(t, ends, 2)
	assert.InDelta(t, 1.6, ends[0], 1e-9)
	assert.InDelta(t, 2.1, ends[1], 1e-9)
	assert.Zero(t, l.ActiveTransfers())
}

// checkInvariants compares the engine's counts of blocks, slots and states with its sequences.
func checkInvariants(t *rapid.T, e *Engine) {
	m := e.memory
	refs := make([]int, len(m.blocks))
	countRefs := func(blocks []int32) {
		for _, index := range blocks {
			refs[index]++
		}
	}
	for _, s := range e.batch {
		countRefs(s.blocks)
		if len(s.blocks) < e.blocksFor(s.tokensInMemory()) && !s.finished {
			t.Fatalf("job %d has %d blocks for %d tokens", s.ID, len(s.blocks), s.tokensInMemory())
		}
	}
	for _, s := range e.waiting {
		if len(s.blocks) > 0 {
			t.Fatalf("waiting job %d has blocks", s.ID)
		}
	}
	for _, blocks := range e.heldStates {
		countRefs(blocks)
	}
	used := 0
	for at, n := range refs {
		if m.blocks[at].refs != n {
			t.Fatalf("block %d has %d users but a reference count of %d", at, n, m.blocks[at].refs)
		}
		if n > 0 {
			used++
		}
	}
	listed := 0
	for at := m.oldestUnused; at >= 0; at = m.blocks[at].next {
		listed++
		if m.blocks[at].refs != 0 || m.byHash[m.blocks[at].hash] != at {
			t.Fatalf("block %d is in the list of unused blocks: %+v", at, m.blocks[at])
		}
	}
	if listed != m.unusedCount || used+listed+len(m.free) != len(m.blocks) {
		t.Fatalf("blocks: %d used, %d unused (%d counted), %d free of %d", used, listed, m.unusedCount, len(m.free), len(m.blocks))
	}
	if len(e.batch) > e.model.Slots {
		t.Fatalf("%d in %d slots", len(e.batch), e.model.Slots)
	}
}

func TestRandomOperationsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := testModel()
		model.Blocks, model.Slots, model.Queue = rapid.IntRange(12, 60).Draw(t, "blocks"), rapid.IntRange(1, 6).Draw(t, "slots"), 10
		c, e := newTestEngine(t, model)
		type record struct {
			tokens, outputTokens int
			kind                 JobKind
			ended                bool
			outcome              Outcome
		}
		jobs := map[uint64]*record{}
		var ids []uint64
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := uint64(len(ids) + 1)
				r := &record{outputTokens: rapid.IntRange(1, 120).Draw(t, "answer"), kind: JobKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
				prompt := rapid.IntRange(1, 400).Draw(t, "prompt")
				ids, jobs[id] = append(ids, id), r
				e.Submit(&Job{ID: id, Kind: r.kind, BlockHashes: blockHashes(uint64(rapid.IntRange(1, 3).Draw(t, "text")), prompt, 16, 5),
					PromptTokens: prompt, OutputTokens: r.outputTokens,
					OnToken: func(n int) {
						if r.ended || n != r.tokens {
							t.Fatalf("job %d: token %d after %d, ended %v", id, n, r.tokens, r.ended)
						}
						r.tokens++
					},
					OnEnd: func(outcome Outcome) {
						if r.ended {
							t.Fatalf("job %d ended twice", id)
						}
						r.ended, r.outcome = true, outcome
						if outcome == Done && r.kind != Read && r.tokens != r.outputTokens {
							t.Fatalf("job %d is done with %d of %d tokens", id, r.tokens, r.outputTokens)
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
			"": func(t *rapid.T) { checkInvariants(t, e) },
		})
		e.SetPaused(false)
		for _, id := range ids { // held states may fill the memory: once they are released, all jobs must end
			c.Run(c.Now() + 100)
			e.Release(id)
		}
		if !c.Drain(1 << 20) {
			t.Fatal("jobs still run after 1<<20 events")
		}
		for id, r := range jobs {
			if !r.ended {
				t.Fatalf("job %d never ended", id)
			}
		}
		checkInvariants(t, e)
	})
}

// The same inputs give exactly the same events.
func TestSameInputsGiveSameEvents(t *testing.T) {
	runEvents := func(seed uint64) (sum uint64, n int) {
		m := testModel()
		m.Blocks = 120
		c, e := newTestEngine(t, m)
		var out []string
		r := rand.New(rand.NewPCG(seed, 1))
		for i := range 400 {
			c.After(r.Float64()*20, func() {
				e.Submit(logEvents(&out, c, &Job{ID: uint64(i), Kind: Write, BlockHashes: blockHashes(uint64(1+i%7), 64+i%300, 16, 4),
					PromptTokens: 64 + i%300, OutputTokens: 1 + i%90}))
			})
		}
		require.True(t, c.Drain(1<<20))
		h := fnv.New64a()
		for _, line := range out {
			fmt.Fprintln(h, line)
		}
		return h.Sum64(), len(out)
	}
	first, n := runEvents(1)
	again, _ := runEvents(1)
	other, _ := runEvents(2)
	assert.Equal(t, first, again)
	assert.NotEqual(t, first, other)
	assert.Greater(t, n, 1000)
}

func TestInvalidModels(t *testing.T) {
	for name, change := range map[string]func(*Model){
		"no slots": func(m *Model) { m.Slots = 0 }, "no time": func(m *Model) { m.StepBase, m.ReadToken = 0, 0 },
		"NaN": func(m *Model) { m.WriteToken = math.NaN() }, "start": func(m *Model) { m.StartShare = 0 },
	} {
		m := testModel()
		change(&m)
		_, err := New(m, &Clock{})
		assert.ErrorContains(t, err, "want ", name)
	}
}
