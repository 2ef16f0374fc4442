package rules

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

func clientEvent(at float64, id int64, kind pb.ClientEvent_Kind, change ...func(*pb.ClientEvent)) *pb.Entry {
	e := &pb.ClientEvent{Kind: kind.Enum(), Completion: proto.Int64(id)}
	if kind == pb.ClientEvent_SENT {
		e.FirstTry, e.Router, e.Key, e.TimeoutS, e.Streamed, e.PromptTokens = proto.Int64(id), proto.String("r"), proto.String("k"), proto.Float64(5), proto.Bool(true), proto.Int32(1000)
	}
	for _, f := range change {
		f(e)
	}
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Client{Client: e}}
}

func withWorkload(w int32) func(*pb.ClientEvent) {
	return func(e *pb.ClientEvent) { e.Workload = proto.Int32(w) }
}
func withDetail(n string) func(*pb.ClientEvent) {
	return func(e *pb.ClientEvent) { e.Detail = proto.String(n) }
}

func engineEvent(at float64, kind pb.EngineEvent_Kind, dispatch string, change ...func(*pb.EngineEvent)) *pb.Entry {
	e := &pb.EngineEvent{Kind: kind.Enum(), Engine: proto.String("e"), Dispatch: proto.String(dispatch), Completion: proto.String("c"), Key: proto.String("k"), Peer: proto.String("r")}
	for _, f := range change {
		f(e)
	}
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Engine{Engine: e}}
}

func listEvent(at float64, phase int32, age float64) *pb.Entry {
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_List{List: &pb.ListEvent{Router: proto.String("r"), Engine: proto.String("e"), Phase: proto.Int32(phase), StartedS: proto.Float64(age)}}}
}

func routerEvent(at float64, up bool) *pb.Entry {
	return &pb.Entry{AtS: proto.Float64(at), What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String("r"), Up: proto.Bool(up)}}}
}

// newRecord returns a record of the entries with a head and a foot.
func newRecord(entries ...*pb.Entry) []*pb.Entry {
	head := &pb.Entry{AtS: proto.Float64(0), What: &pb.Entry_Head{Head: &pb.Head{DrainGraceS: proto.Float64(1), LetGoS: proto.Float64(0.5), ValueUnitTokens: proto.Float64(1000),
		Cold: &pb.Cold{StartShare: proto.Float64(0.5), WarmS: proto.Float64(10), FallMultiple: proto.Float64(2), FallWindowS: proto.Float64(2)},
		Workloads: []*pb.Workload{{Name: proto.String("w0"), Effect: pb.Effect_IDEMPOTENT.Enum(), LatencyTargetS: proto.Float64(1), Value: proto.Float64(3)},
			{Name: proto.String("w1"), Effect: pb.Effect_NON_IDEMPOTENT.Enum()}, {Name: proto.String("w2"), Effect: pb.Effect_TOKENED.Enum()}}}}}
	return append(append([]*pb.Entry{head}, entries...), &pb.Entry{AtS: proto.Float64(100), What: &pb.Entry_Foot{Foot: &pb.Foot{}}})
}

const (
	sent        = pb.ClientEvent_SENT
	first       = pb.ClientEvent_FIRST
	finished    = pb.ClientEvent_FINISHED
	rateLimited = pb.ClientEvent_RATE_LIMITED
	aborted     = pb.ClientEvent_ABORTED
)

// TestCheck checks records that violate no rule, and variants of them that violate exactly one.
func TestCheck(t *testing.T) {
	engineWorkload := func(w int32) func(*pb.EngineEvent) { return func(e *pb.EngineEvent) { e.Workload = proto.Int32(w) } }
	withWork := func(s float64) func(*pb.EngineEvent) { return func(e *pb.EngineEvent) { e.WorkS = proto.Float64(s) } }
	cold := func(e *pb.EngineEvent) { e.Cold = proto.Bool(true) }
	otherEngine := func(e *pb.EngineEvent) { e.Engine = proto.String("f") }
	noPeer := func(e *pb.EngineEvent) { e.Peer = nil }
	for name, tc := range map[string]struct {
		rule     Rule
		violated bool
		entries  []*pb.Entry
	}{
		"finished":                     {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, first), clientEvent(9, 1, finished)}},
		"rate-limited in time":         {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(5.9, 1, rateLimited)}},
		"error event in the stream":    {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, first), clientEvent(9, 1, aborted)}},
		"the client left":              {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, pb.ClientEvent_LEFT)}},
		"its router was killed":        {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), routerEvent(2, false), clientEvent(2.1, 1, pb.ClientEvent_CUT), routerEvent(3, true)}},
		"no connection":                {OneAnswer, false, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(1.1, 1, pb.ClientEvent_NO_CONNECTION)}},
		"no answer at all":             {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent)}},
		"gave up":                      {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(6, 1, pb.ClientEvent_GAVE_UP)}},
		"cut":                          {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, first), clientEvent(3, 1, pb.ClientEvent_CUT)}},
		"cut, the router killed later": {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(3, 1, pb.ClientEvent_CUT), routerEvent(4, false)}},
		"two answers":                  {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, rateLimited), clientEvent(2.1, 1, finished)}},
		"data after answer":            {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(2, 1, first), clientEvent(3, 1, finished), clientEvent(3.1, 1, pb.ClientEvent_AFTER, withDetail("x"))}},
		"late answer":                  {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(6.01, 1, rateLimited)}},
		"late first token":             {OneAnswer, true, []*pb.Entry{clientEvent(1, 1, sent), clientEvent(6.01, 1, first), clientEvent(6.02, 1, finished)}},

		"idempotent twice":          {NoEffectTwice, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_RAN, "c-0"), engineEvent(2, pb.EngineEvent_RAN, "c-1")}},
		"non-idempotent once":       {NoEffectTwice, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(1))}},
		"tokened, repeat dropped":   {NoEffectTwice, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(2)), engineEvent(2, pb.EngineEvent_REPEAT, "c-1", engineWorkload(2))}},
		"non-idempotent twice":      {NoEffectTwice, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(1)), engineEvent(2, pb.EngineEvent_RAN, "c-1", engineWorkload(1))}},
		"tokened twice":             {NoEffectTwice, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(2)), engineEvent(2, pb.EngineEvent_RAN, "c-1", engineWorkload(2), otherEngine)}},
		"aborted after it ran":      {NoEffectTwice, false, []*pb.Entry{clientEvent(0, 1, sent, withWorkload(1)), engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(1)), clientEvent(2, 1, aborted, withDetail("c"))}},
		"rate-limited after it ran": {NoEffectTwice, true, []*pb.Entry{clientEvent(0, 1, sent, withWorkload(1)), engineEvent(1, pb.EngineEvent_RAN, "c-0", engineWorkload(1)), clientEvent(2, 1, rateLimited, withDetail("c"))}},

		"within grace":        {DrainsRespected, false, []*pb.Entry{listEvent(1, 2, -1), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0")}},
		"ready again":         {DrainsRespected, false, []*pb.Entry{listEvent(1, 0, -1), listEvent(2, 1, 0), engineEvent(3, pb.EngineEvent_ARRIVED, "c-0")}},
		"to another engine":   {DrainsRespected, false, []*pb.Entry{listEvent(1, 2, -1), engineEvent(9, pb.EngineEvent_ARRIVED, "c-0", otherEngine)}},
		"past grace":          {DrainsRespected, true, []*pb.Entry{listEvent(1, 2, -1), engineEvent(2.01, pb.EngineEvent_ARRIVED, "c-0")}},
		"draining, then gone": {DrainsRespected, true, []*pb.Entry{listEvent(1, 2, -1), listEvent(1.9, 0, -1), engineEvent(2.5, pb.EngineEvent_ARRIVED, "c-0")}},

		"cold, below limit":      {ColdNotOverloaded, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, "", cold), listEvent(1.1, 1, 0.1), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0", withWork(2))}},
		"cold, longer period":    {ColdNotOverloaded, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, "", cold), listEvent(1.1, 1, 0.1), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0", withWork(2)), engineEvent(4.5, pb.EngineEvent_ARRIVED, "c-1", withWork(2))}},
		"warm":                   {ColdNotOverloaded, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, ""), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0", withWork(9))}},
		"warm after a while":     {ColdNotOverloaded, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, "", cold), listEvent(1.1, 1, 0.1), engineEvent(11.1, pb.EngineEvent_ARRIVED, "c-0", withWork(9))}},
		"start not reported":     {ColdNotOverloaded, false, []*pb.Entry{listEvent(0.5, 1, -1), engineEvent(1, pb.EngineEvent_UP, "", cold), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0", withWork(9))}},
		"cold, overloaded":       {ColdNotOverloaded, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, "", cold), listEvent(1.1, 1, 0.1), engineEvent(2, pb.EngineEvent_ARRIVED, "c-0", withWork(1.5)), engineEvent(3, pb.EngineEvent_ARRIVED, "c-1", withWork(1.5))}},
		"cold again, overloaded": {ColdNotOverloaded, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_UP, "", cold), engineEvent(30, pb.EngineEvent_UP, "", cold), listEvent(30.1, 1, 0.1), engineEvent(31, pb.EngineEvent_ARRIVED, "c-0", withWork(3))}},

		"taken in time":                 {NothingHeldPastLimit, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"a dispatch is running":         {NothingHeldPastLimit, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_ARRIVED, "c-1", otherEngine), engineEvent(9, pb.EngineEvent_ENDED, "c-1", otherEngine), engineEvent(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"deaf":                          {NothingHeldPastLimit, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_DEAF, "", noPeer), engineEvent(9, pb.EngineEvent_HEARS, "", noPeer), engineEvent(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"down, and deaf for a while":    {NothingHeldPastLimit, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_DOWN, ""), engineEvent(2, pb.EngineEvent_DEAF, ""), engineEvent(3, pb.EngineEvent_HEARS, ""), engineEvent(9, pb.EngineEvent_UP, ""), engineEvent(9.4, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"deaf to another router":        {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_ARRIVED, "c-0"), engineEvent(1.1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.1, pb.EngineEvent_ENDED, "c-0"), engineEvent(1.2, pb.EngineEvent_DEAF, "", func(e *pb.EngineEvent) { e.Peer = proto.String("s") }), engineEvent(9, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"held too long":                 {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.6, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"never released":                {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_PLACE_HELD, "c-0")}},
		"too long after the dispatch":   {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_ARRIVED, "c-1", otherEngine), engineEvent(2, pb.EngineEvent_ENDED, "c-1", otherEngine), engineEvent(2.6, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"another completion's dispatch": {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.1, pb.EngineEvent_ARRIVED, "d-1", func(e *pb.EngineEvent) { e.Completion = proto.String("d") }), engineEvent(3, pb.EngineEvent_STATE_TAKEN, "c-0")}},
		"down, then held too long":      {NothingHeldPastLimit, true, []*pb.Entry{engineEvent(1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.4, pb.EngineEvent_DOWN, ""), engineEvent(9, pb.EngineEvent_UP, ""), engineEvent(9.6, pb.EngineEvent_STATE_RELEASED, "c-0")}},
		"held, its router was killed":   {NothingHeldPastLimit, false, []*pb.Entry{engineEvent(1, pb.EngineEvent_ARRIVED, "c-0"), engineEvent(1.1, pb.EngineEvent_STATE_HELD, "c-0"), engineEvent(1.1, pb.EngineEvent_ENDED, "c-0"), routerEvent(1.2, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			report, err := Check(newRecord(tc.entries...))
			require.NoError(t, err)
			for _, rule := range AllRules() {
				assert.Equal(t, !(tc.violated && rule == tc.rule), report.Passed(rule), "%v: %v", rule, report.Violations)
			}
		})
	}
}

func TestWorkloadStats(t *testing.T) {
	retryOfFirst := func(e *pb.ClientEvent) { e.FirstTry = proto.Int64(1) }
	report, err := Check(newRecord(
		clientEvent(1, 1, sent), clientEvent(1.5, 1, rateLimited),
		clientEvent(2, 2, sent, retryOfFirst), clientEvent(2.5, 2, first), clientEvent(4, 2, finished), // in time at the second attempt
		clientEvent(5, 3, sent), clientEvent(6.5, 3, first), clientEvent(7, 3, finished), // late
		clientEvent(8, 4, sent, withWorkload(1)), clientEvent(9, 4, aborted),
		clientEvent(9, 5, sent, withWorkload(1)), clientEvent(9.5, 5, pb.ClientEvent_LEFT)))
	require.NoError(t, err)
	assert.Equal(t, WorkloadStats{Name: "w0", Accepted: 3, Finished: 2, RateLimited: 1, Late: 1, OfferedValue: 6, ServedValue: 3}, report.Workloads[0])
	assert.Equal(t, WorkloadStats{Name: "w1", Accepted: 2, Aborted: 1, ClientLeft: 1, OfferedValue: 2}, report.Workloads[1])
	assert.Empty(t, report.Violations)
}

func TestBadRecords(t *testing.T) {
	for name, entries := range map[string][]*pb.Entry{
		"empty":              nil,
		"no head":            newRecord(clientEvent(1, 1, sent))[1:],
		"times not in order": newRecord(clientEvent(2, 1, sent), clientEvent(1, 1, finished)),
	} {
		_, err := Check(entries)
		assert.Error(t, err, name)
	}
	report, err := Check(newRecord(clientEvent(1, 1, sent, withWorkload(9)), engineEvent(2, pb.EngineEvent_RAN, "c-0", func(e *pb.EngineEvent) { e.Workload = proto.Int32(-3) })))
	require.NoError(t, err)
	assert.False(t, report.Passed(OneAnswer), "unknown workload")
}

// TestLongestGap compares longestGap with a count of unit steps.
func TestLongestGap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var spans []span
		for range rng.IntN(5) {
			from := float64(rng.IntN(20))
			spans = append(spans, span{from, from + 1 + float64(rng.IntN(5))})
		}
		longest, current := 0, 0
		for at := 3; at < 17; at++ {
			current++
			for _, s := range spans {
				if float64(at) >= s.from && float64(at+1) <= s.to {
					current = 0
				}
			}
			longest = max(longest, current)
		}
		_, gap := longestGap(3, 17, spans)
		require.Equal(t, float64(longest), gap, spans)
	}
}

func TestCountProbes(t *testing.T) {
	probe := func(at float64, peer string) *pb.Entry {
		return engineEvent(at, pb.EngineEvent_PROBED, "", func(e *pb.EngineEvent) { e.Peer = proto.String(peer) })
	}
	entries := newRecord(engineEvent(0, pb.EngineEvent_UP, ""), probe(0.5, "a"), probe(1, "a"), probe(1.4, "b"), probe(1.9, "a"), probe(2.4, "b"),
		engineEvent(3, pb.EngineEvent_DOWN, ""), engineEvent(8, pb.EngineEvent_UP, ""), probe(8.4, "a"), probe(9.6, "a"), probe(30, "c"))
	stats := CountProbes(entries, 1, 10, 1)
	require.Len(t, stats, 1)
	assert.InDelta(t, 1.2, stats[0].LongestGap, 1e-9)
	assert.Equal(t, []any{"e", 6, 3, 2}, []any{stats[0].Engine, stats[0].Count, stats[0].MaxInWindow, stats[0].Routers})
	assert.Equal(t, 2, CountProbes(entries, 1, 10, 0.5)[0].MaxInWindow)
	assert.InDelta(t, 20.4, CountProbes(entries, 1, 30, 1)[0].LongestGap, 1e-9)
}
