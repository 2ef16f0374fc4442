package rules

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

func client(at float64, id int64, kind pb.ClientEvent_Kind, change ...func(*pb.ClientEvent)) *pb.Entry {
	e := &pb.ClientEvent{Kind: kind.Enum(), Completion: proto.Int64(id)}
	if kind == pb.ClientEvent_SENT {
		e.FirstTry, e.Router, e.Key, e.TimeoutS, e.Streamed, e.PromptTokens = proto.Int64(id), proto.String("r"), proto.String("k"), proto.Float64(5), proto.Bool(true), proto.Int32(1000)
	}
	for _, f := range change {
		f(e)
	}
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Client{Client: e}}
}

func work(w int32) func(*pb.ClientEvent) {
	return func(e *pb.ClientEvent) { e.Workload = proto.Int32(w) }
}
func named(n string) func(*pb.ClientEvent) {
	return func(e *pb.ClientEvent) { e.Detail = proto.String(n) }
}

func engine(at float64, kind pb.EngineEvent_Kind, dispatch string, change ...func(*pb.EngineEvent)) *pb.Entry {
	e := &pb.EngineEvent{Kind: kind.Enum(), Engine: proto.String("e"), Dispatch: proto.String(dispatch), Completion: proto.String("c"), Key: proto.String("k"), Peer: proto.String("r")}
	for _, f := range change {
		f(e)
	}
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Engine{Engine: e}}
}

func list(at float64, phase int32, age float64) *pb.Entry {
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_List{List: &pb.ListEvent{Router: proto.String("r"), Engine: proto.String("e"), Phase: proto.Int32(phase), StartedS: proto.Float64(age)}}}
}

func router(at float64, up bool) *pb.Entry {
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String("r"), Up: proto.Bool(up)}}}
}

// record puts a head before the entries and a foot behind.
func record(entries ...*pb.Entry) []*pb.Entry {
	head := &pb.Entry{AtS: proto.Float64(0), What: &pb.Entry_Head{Head: &pb.Head{DrainGraceS: proto.Float64(1), LetGoS: proto.Float64(0.5), ValueUnitTokens: proto.Float64(1000),
		Cold: &pb.Cold{StartShare: proto.Float64(0.5), WarmS: proto.Float64(10), FallMultiple: proto.Float64(2), FallWindowS: proto.Float64(2)},
		Workloads: []*pb.Workload{{Name: proto.String("w0"), Effect: pb.Effect_IDEMPOTENT.Enum(), LatencyTargetS: proto.Float64(1), Value: proto.Float64(3)},
			{Name: proto.String("w1"), Effect: pb.Effect_NON_IDEMPOTENT.Enum()}, {Name: proto.String("w2"), Effect: pb.Effect_TOKENED.Enum()}}}}}
	return append(append([]*pb.Entry{head}, entries...), &pb.Entry{AtS: proto.Float64(100), What: &pb.Entry_Foot{Foot: &pb.Foot{}}})
}

const (
	sent  = pb.ClientEvent_SENT
	first = pb.ClientEvent_FIRST
	fin   = pb.ClientEvent_FINISHED
	limit = pb.ClientEvent_RATE_LIMITED
	abort = pb.ClientEvent_ABORTED
)

// TestRules: each rule is kept by a good record and broken by that record doctored.
func TestRules(t *testing.T) {
	ran := func(w int32) func(*pb.EngineEvent) { return func(e *pb.EngineEvent) { e.Workload = proto.Int32(w) } }
	load := func(s float64) func(*pb.EngineEvent) { return func(e *pb.EngineEvent) { e.WorkS = proto.Float64(s) } }
	cold := func(e *pb.EngineEvent) { e.Cold = proto.Bool(true) }
	other := func(e *pb.EngineEvent) { e.Engine = proto.String("f") }
	toAll := func(e *pb.EngineEvent) { e.Peer = nil }
	for name, c := range map[string]struct {
		rule    Rule
		broken  bool
		entries []*pb.Entry
	}{
		"finished":                     {OneAnswer, false, []*pb.Entry{client(1, 1, sent), client(2, 1, first), client(9, 1, fin)}},
		"rate-limited in time":         {OneAnswer, false, []*pb.Entry{client(1, 1, sent), client(5.9, 1, limit)}},
		"error event in the stream":    {OneAnswer, false, []*pb.Entry{client(1, 1, sent), client(2, 1, first), client(9, 1, abort)}},
		"the client left":              {OneAnswer, false, []*pb.Entry{client(1, 1, sent), client(2, 1, pb.ClientEvent_LEFT)}},
		"its router was killed":        {OneAnswer, false, []*pb.Entry{client(1, 1, sent), router(2, false), client(2.1, 1, pb.ClientEvent_CUT), router(3, true)}},
		"no connection":                {OneAnswer, false, []*pb.Entry{client(1, 1, sent), client(1.1, 1, pb.ClientEvent_NO_CONNECTION)}},
		"no answer at all":             {OneAnswer, true, []*pb.Entry{client(1, 1, sent)}},
		"gave up":                      {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(6, 1, pb.ClientEvent_GAVE_UP)}},
		"cut":                          {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(2, 1, first), client(3, 1, pb.ClientEvent_CUT)}},
		"cut, the router killed later": {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(3, 1, pb.ClientEvent_CUT), router(4, false)}},
		"two answers":                  {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(2, 1, limit), client(2.1, 1, fin)}},
		"something after":              {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(2, 1, first), client(3, 1, fin), client(3.1, 1, pb.ClientEvent_AFTER, named("x"))}},
		"late answer":                  {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(6.01, 1, limit)}},
		"late first token":             {OneAnswer, true, []*pb.Entry{client(1, 1, sent), client(6.01, 1, first), client(6.02, 1, fin)}},

		"idempotent twice":          {NoEffectTwice, false, []*pb.Entry{engine(1, pb.EngineEvent_RAN, "c-0"), engine(2, pb.EngineEvent_RAN, "c-1")}},
		"non-idempotent once":       {NoEffectTwice, false, []*pb.Entry{engine(1, pb.EngineEvent_RAN, "c-0", ran(1))}},
		"tokened, repeat dropped":   {NoEffectTwice, false, []*pb.Entry{engine(1, pb.EngineEvent_RAN, "c-0", ran(2)), engine(2, pb.EngineEvent_REPEAT, "c-1", ran(2))}},
		"non-idempotent twice":      {NoEffectTwice, true, []*pb.Entry{engine(1, pb.EngineEvent_RAN, "c-0", ran(1)), engine(2, pb.EngineEvent_RAN, "c-1", ran(1))}},
		"tokened twice":             {NoEffectTwice, true, []*pb.Entry{engine(1, pb.EngineEvent_RAN, "c-0", ran(2)), engine(2, pb.EngineEvent_RAN, "c-1", ran(2), other)}},
		"aborted after it ran":      {NoEffectTwice, false, []*pb.Entry{client(0, 1, sent, work(1)), engine(1, pb.EngineEvent_RAN, "c-0", ran(1)), client(2, 1, abort, named("c"))}},
		"rate-limited after it ran": {NoEffectTwice, true, []*pb.Entry{client(0, 1, sent, work(1)), engine(1, pb.EngineEvent_RAN, "c-0", ran(1)), client(2, 1, limit, named("c"))}},

		"in the grace":         {DrainsRespected, false, []*pb.Entry{list(1, 2, -1), engine(2, pb.EngineEvent_ARRIVED, "c-0")}},
		"ready again":          {DrainsRespected, false, []*pb.Entry{list(1, 0, -1), list(2, 1, 0), engine(3, pb.EngineEvent_ARRIVED, "c-0")}},
		"to another":           {DrainsRespected, false, []*pb.Entry{list(1, 2, -1), engine(9, pb.EngineEvent_ARRIVED, "c-0", other)}},
		"past the grace":       {DrainsRespected, true, []*pb.Entry{list(1, 2, -1), engine(2.01, pb.EngineEvent_ARRIVED, "c-0")}},
		"drains, then is gone": {DrainsRespected, true, []*pb.Entry{list(1, 2, -1), list(1.9, 0, -1), engine(2.5, pb.EngineEvent_ARRIVED, "c-0")}},

		"cold, within":        {ColdNotOverloaded, false, []*pb.Entry{engine(1, pb.EngineEvent_UP, "", cold), list(1.1, 1, 0.1), engine(2, pb.EngineEvent_ARRIVED, "c-0", load(2))}},
		"cold, over time":     {ColdNotOverloaded, false, []*pb.Entry{engine(1, pb.EngineEvent_UP, "", cold), list(1.1, 1, 0.1), engine(2, pb.EngineEvent_ARRIVED, "c-0", load(2)), engine(4.5, pb.EngineEvent_ARRIVED, "c-1", load(2))}},
		"warm":                {ColdNotOverloaded, false, []*pb.Entry{engine(1, pb.EngineEvent_UP, ""), engine(2, pb.EngineEvent_ARRIVED, "c-0", load(9))}},
		"warm by now":         {ColdNotOverloaded, false, []*pb.Entry{engine(1, pb.EngineEvent_UP, "", cold), list(1.1, 1, 0.1), engine(11.1, pb.EngineEvent_ARRIVED, "c-0", load(9))}},
		"not told of":         {ColdNotOverloaded, false, []*pb.Entry{list(0.5, 1, -1), engine(1, pb.EngineEvent_UP, "", cold), engine(2, pb.EngineEvent_ARRIVED, "c-0", load(9))}},
		"cold, pushed":        {ColdNotOverloaded, true, []*pb.Entry{engine(1, pb.EngineEvent_UP, "", cold), list(1.1, 1, 0.1), engine(2, pb.EngineEvent_ARRIVED, "c-0", load(1.5)), engine(3, pb.EngineEvent_ARRIVED, "c-1", load(1.5))}},
		"cold, pushed, again": {ColdNotOverloaded, true, []*pb.Entry{engine(1, pb.EngineEvent_UP, "", cold), engine(30, pb.EngineEvent_UP, "", cold), list(30.1, 1, 0.1), engine(31, pb.EngineEvent_ARRIVED, "c-0", load(3))}},

		"taken in time":                 {NothingHeldPastLimit, false, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"a dispatch is out":             {NothingHeldPastLimit, false, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_ARRIVED, "c-1", other), engine(9, pb.EngineEvent_ENDED, "c-1", other), engine(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"deaf":                          {NothingHeldPastLimit, false, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_DEAF, "", toAll), engine(9, pb.EngineEvent_HEARS, "", toAll), engine(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"down, and deaf meanwhile":      {NothingHeldPastLimit, false, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_DOWN, ""), engine(2, pb.EngineEvent_DEAF, ""), engine(3, pb.EngineEvent_HEARS, ""), engine(9, pb.EngineEvent_UP, ""), engine(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"deaf to another router":        {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_ARRIVED, "c-0"), engine(1.1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.1, pb.EngineEvent_ENDED, "c-0"), engine(1.2, pb.EngineEvent_DEAF, "", func(e *pb.EngineEvent) { e.Peer = proto.String("s") }), engine(9, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"held too long":                 {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.6, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"never let go":                  {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_PLACE_HELD, "c-0")}},
		"after the dispatch":            {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_ARRIVED, "c-1", other), engine(2, pb.EngineEvent_ENDED, "c-1", other), engine(2.6, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"another's dispatch":            {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.1, pb.EngineEvent_ARRIVED, "d-1", func(e *pb.EngineEvent) { e.Completion = proto.String("d") }), engine(3, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"deaf, then too long":           {NothingHeldPastLimit, true, []*pb.Entry{engine(1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.4, pb.EngineEvent_DOWN, ""), engine(9, pb.EngineEvent_UP, ""), engine(9.6, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"its router was killed, pinned": {NothingHeldPastLimit, false, []*pb.Entry{engine(1, pb.EngineEvent_ARRIVED, "c-0"), engine(1.1, pb.EngineEvent_STATE_HELD, "c-0"), engine(1.1, pb.EngineEvent_ENDED, "c-0"), router(1.2, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			report, err := Check(record(c.entries...))
			require.NoError(t, err)
			for _, rule := range AllRules() {
				assert.Equal(t, !(c.broken && rule == c.rule), report.Passed(rule), "%v: %v", rule, report.Violations)
			}
		})
	}
}

func TestCounts(t *testing.T) {
	again := func(e *pb.ClientEvent) { e.FirstTry = proto.Int64(1) }
	report, err := Check(record(
		client(1, 1, sent), client(1.5, 1, limit),
		client(2, 2, sent, again), client(2.5, 2, first), client(4, 2, fin), // in time at the second try
		client(5, 3, sent), client(6.5, 3, first), client(7, 3, fin), // late
		client(8, 4, sent, work(1)), client(9, 4, abort),
		client(9, 5, sent, work(1)), client(9.5, 5, pb.ClientEvent_LEFT)))
	require.NoError(t, err)
	assert.Equal(t, WorkloadStats{Name: "w0", Accepted: 3, Finished: 2, RateLimited: 1, Late: 1, OfferedValue: 6, ServedValue: 3}, report.Workloads[0])
	assert.Equal(t, WorkloadStats{Name: "w1", Accepted: 2, Aborted: 1, ClientLeft: 1, OfferedValue: 2}, report.Workloads[1])
	assert.Empty(t, report.Violations)
}

func TestBadRecords(t *testing.T) {
	for name, entries := range map[string][]*pb.Entry{
		"empty":        nil,
		"no head":      record(client(1, 1, sent))[1:],
		"back in time": record(client(2, 1, sent), client(1, 1, fin)),
	} {
		_, err := Check(entries)
		assert.Error(t, err, name)
	}
	report, err := Check(record(client(1, 1, sent, work(9)), engine(2, pb.EngineEvent_RAN, "c-0", func(e *pb.EngineEvent) { e.Workload = proto.Int32(-3) })))
	require.NoError(t, err)
	assert.False(t, report.Passed(OneAnswer), "a workload that nobody knows")
}

// TestGap holds longestGap to a count of small steps.
func TestGap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var spans []span
		for range rng.IntN(5) {
			from := float64(rng.IntN(20))
			spans = append(spans, span{from, from + 1 + float64(rng.IntN(5))})
		}
		best, run := 0, 0
		for at := 3; at < 17; at++ {
			run++
			for _, s := range spans {
				if float64(at) >= s.from && float64(at+1) <= s.to {
					run = 0
				}
			}
			best = max(best, run)
		}
		_, gap := longestGap(3, 17, spans)
		require.Equal(t, float64(best), gap, spans)
	}
}

func TestCountProbes(t *testing.T) {
	probe := func(at float64, peer string) *pb.Entry {
		return engine(at, pb.EngineEvent_PROBED, "", func(e *pb.EngineEvent) { e.Peer = proto.String(peer) })
	}
	entries := record(engine(0, pb.EngineEvent_UP, ""), probe(0.5, "a"), probe(1, "a"), probe(1.4, "b"), probe(1.9, "a"), probe(2.4, "b"),
		engine(3, pb.EngineEvent_DOWN, ""), engine(8, pb.EngineEvent_UP, ""), probe(8.4, "a"), probe(9.6, "a"), probe(30, "c"))
	one := CountProbes(entries, 1, 10, 1)
	require.Len(t, one, 1)
	assert.InDelta(t, 1.2, one[0].LongestGap, 1e-9)
	assert.Equal(t, []any{"e", 6, 3, 2}, []any{one[0].Engine, one[0].Count, one[0].MaxInWindow, one[0].Routers})
	assert.Equal(t, 2, CountProbes(entries, 1, 10, 0.5)[0].MaxInWindow)
	assert.InDelta(t, 20.4, CountProbes(entries, 1, 30, 1)[0].LongestGap, 1e-9)
}
