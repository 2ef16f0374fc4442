package config

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/internal/duty"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/member"
	"cherryhub/internal/peer"
	"cherryhub/internal/planner"
	pb "cherryhub/proto"
)

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func roleOf(r pb.Role) decide.Role {
	switch r {
	case pb.Role_READER:
		return decide.Reader
	case pb.Role_WRITER:
		return decide.Writer
	}
	return decide.Mixed
}

// loadMetrics returns the metrics in which engines report their load, by default those of vLLM.
func loadMetrics(r *pb.LoadReports) engine.LoadMetrics {
	if r == nil {
		r = &pb.LoadReports{
			Waiting:    &pb.Figure{Orca: proto.String("named_metrics.num_requests_waiting"), Prometheus: proto.String("vllm:num_requests_waiting")},
			MemoryHeld: &pb.Figure{Orca: proto.String("named_metrics.kv_cache_usage_perc"), Prometheus: proto.String("vllm:kv_cache_usage_perc")},
		}
	}
	var metrics engine.LoadMetrics
	for _, metric := range [...]struct {
		column string
		source *pb.Figure
		sum    bool
	}{{"queue", r.GetWaiting(), true}, {"util", r.GetSlotsUsed(), false}, {"x0", r.GetMemoryHeld(), false},
		{"x1", r.GetThousandsWaiting(), true}} {
		if metric.source != nil {
			metrics = append(metrics, engine.LoadMetric{Column: metric.column, ORCA: metric.source.GetOrca(), Prometheus: metric.source.GetPrometheus(), Sum: metric.sum})
		}
	}
	return metrics
}

// DecideSettings returns the settings of the routing decisions, made by package decide.
func DecideSettings(r *pb.Router) decide.Settings {
	a, cold := r.GetAllowed(), r.GetCold()
	s := decide.Settings{Seed: r.GetSeed(), Routers: int(r.GetRouters()), OverShareValue: r.GetOverShareValue(),
		ReportColumns: loadMetrics(r.GetReports()).Columns(), ProbesAllowed: a.GetProbes(), ReservationsAllowed: a.GetPlaces(), WriterReadsAllowed: a.GetWritersRead(),
		CancelAllowed: a.GetCancels(), MaxDispatches: int(a.GetMaxDispatches()), MaxRetryAfter: a.GetMaxComeBackS(),
		ColdStartShare: cold.GetStartShare(), WarmUpTime: cold.GetWarmS(), OverloadMultiple: cold.GetFallMultiple(), OverloadWindow: cold.GetFallWindowS(),
		Tick: r.GetTiming().GetTickMs() / 1000, CrossCellPrice: r.GetPrices().GetFarState(), CrossZonePrice: r.GetPrices().GetCrossZone()}
	if s.Seed == 0 {
		s.Seed = uint64(time.Now().UnixNano())
	}
	for _, m := range r.GetMachines() {
		s.Roles = append(s.Roles, roleOf(m.GetRole()))
		s.Memory = append(s.Memory, m.GetMemoryTokens())
	}
	for _, w := range r.GetWorkloads() {
		s.Workloads = append(s.Workloads, decide.Workload{LatencyTarget: w.GetLatencyTargetS(),
			LatencyTargetPerToken: w.GetLatencyTargetSPer_1000Tokens() / 1000, InterTokenTarget: w.GetTokenTargetMs() / 1000, Value: w.GetValue(),
			Idempotency: idempotencyOf(w.GetEffect()), DedupScope: dedupScopeOf(w.GetGroup()), DedupWindow: w.GetRememberedS()})
	}
	for _, t := range r.GetTenants() {
		s.Tenants = append(s.Tenants, decide.Tenant{Rate: t.GetSharePerS()})
	}
	return s
}

func idempotencyOf(e pb.Effect) decide.Idempotency {
	switch e {
	case pb.Effect_IDEMPOTENT:
		return decide.Idempotent
	case pb.Effect_TOKENED:
		return decide.Tokened
	}
	return decide.NonIdempotent
}

func dedupScopeOf(g pb.Group) decide.DedupScope {
	switch g {
	case pb.Group_ZONE:
		return decide.DedupZone
	case pb.Group_CELL:
		return decide.DedupCell
	}
	return decide.DedupAll
}

// PlannerOptions returns the planner's options. The caller adds the log.
func PlannerOptions(r *pb.Router) planner.Options {
	o := planner.Options{Zone: r.GetZone(), MaxEngines: int(r.GetList().GetMaxEngines()), MaxQueuedCompletions: int(r.GetLimits().GetMailbox()),
		MaxOpenCompletions: int(r.GetLimits().GetMaxCompletions())}
	for _, m := range r.GetMachines() {
		o.MachineKinds = append(o.MachineKinds, planner.MachineKind{Name: m.GetName(), Role: roleOf(m.GetRole())})
	}
	return o
}

// EngineOptions returns the options of the engine client.
func EngineOptions(r *pb.Router) engine.Options {
	t := r.GetTiming()
	return engine.Options{ConnectTimeout: milliseconds(t.GetConnectTimeoutMs()), ProbeTimeout: milliseconds(t.GetProbeTimeoutMs()),
		IdleConnTimeout: Seconds(t.GetEngineIdleS()), StreamIdleTimeout: Seconds(t.GetStreamIdleS()),
		MaxEventBytes: int(r.GetLimits().GetMaxEventBytes()), SourceAddress: r.GetSourceAddress(), LoadMetrics: loadMetrics(r.GetReports())}
}

// EdgeOptions returns the options of the edge, the HTTP server for clients. The caller adds the listener, the engines, the
// log and the observer. a is the admission section of the router's settings or the content of its admission file.
func EdgeOptions(r *pb.Router, a *pb.Admission) edge.Options {
	l, t, id := r.GetLimits(), r.GetTiming(), r.GetIdentity()
	o := edge.Options{
		Limits: edge.Limits{MaxBodyBytes: int(l.GetMaxBodyBytes()), MaxHeaderBytes: int(l.GetMaxHeaderBytes()),
			MaxDepth: int(l.GetMaxDepth()), MaxMessages: int(l.GetMaxMessages()), MaxAnswerBytes: int(l.GetMaxAnswerBytes())},
		Identity: edge.Identity{SessionFields: id.GetSessionFrom(), LeadingMessagesShared: id.GetSharedFromLeading(),
			BytesPerToken: id.GetBytesPerToken()},
		MaxBodyLag: Seconds(a.GetBodyWaitS()), MinBodyRate: a.GetBodyBytesPerS(), MinClientReadRate: a.GetReadBytesPerS(),
		AnswerMargin: milliseconds(t.GetAnswerMarginMs()), HoldLimit: Seconds(r.GetLetGoS()), MaxStreamDuration: Seconds(t.GetStreamMostS()),
		ClientWriteTimeout: Seconds(t.GetClientWriteS()), IdleTimeout: Seconds(t.GetIdleS()), RetryAfter: Seconds(r.GetAllowed().GetMaxComeBackS()),
	}
	if len(o.Identity.SessionFields) == 0 {
		o.Identity.SessionFields = []string{"prompt_cache_key", "user"}
	}
	for _, w := range r.GetWorkloads() {
		models := w.GetModels()
		if len(models) == 0 {
			models = []string{w.GetName()}
		}
		o.Workloads = append(o.Workloads, edge.Workload{Name: w.GetName(), Models: models, ClientTimeout: Seconds(w.GetClientTimeoutS()),
			Idempotency: idempotencyOf(w.GetEffect()), DefaultMaxTokens: int(w.GetMaxAnswerTokens())})
	}
	for _, t := range r.GetTenants() {
		o.Tenants = append(o.Tenants, edge.Tenant{Name: t.GetName(), Anonymous: t.GetAnonymous(), KeyHashes: decodeKeyHashes(t.GetKeySha256())})
	}
	return o
}

// PeerOptions returns the options for sharing duties with other routers, or nil if no peers are configured. The caller
// adds the callbacks.
func PeerOptions(r *pb.Router) *peer.Options {
	p := r.GetPeers()
	if p == nil {
		return nil
	}
	self := duty.Member{Name: r.GetName(), Incarnation: uint64(time.Now().UnixMilli()), Zone: r.GetZone(), Weight: p.GetWeight()}
	return &peer.Options{Duty: duty.Settings{Self: self, SettleTime: p.GetSettleS(), LeaseTime: p.GetLeaseS(), HandoverDelay: p.GetHandOverS(), MaxJoins: int(p.GetMoves())},
		ProbeInterval: p.GetProbeIntervalS(), Candidates: int(p.GetCandidates()), OwnProbesPerSecond: p.GetOwnProbesPerS(), ReportColumns: loadMetrics(r.GetReports()).Columns(),
		Membership: member.Options{Self: self, Listen: p.GetListen(), Seeds: p.GetSeeds(), KeyHex: p.GetKeyHex()}}
}
