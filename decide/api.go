package decide

// Settings configures a router. Times are in seconds, amounts of work in prompt tokens.
type Settings struct {
	Seed                    uint64
	Routers                 int       // routers that share the engines
	Zone                    int       // this router's zone
	Roles                   []Role    // by machine kind
	Memory                  []float64 // KV cache capacity of an engine in tokens, by machine kind
	Workloads               []Workload
	Tenants                 []Tenant // empty: no tenant shares
	OverShareValue          float64  // factor on the value of a completion beyond its tenant's share
	ReportColumns           []string // names of the values in a load report
	ProbesAllowed           bool
	ReservationsAllowed     bool // KV cache space may be reserved at a writer before the write
	ReservationsUnconfirmed bool // it may remain unknown whether a requested reservation is held
	WriterReadsAllowed      bool // a writer may read a prompt for which no state exists
	CancelAllowed           bool // a dispatch may be cancelled
	MaxDispatches           int
	MaxRetryAfter           float64 // longest retry-after that clients obey, 0 where they get none
	ListOnRequest           bool    // the engine list is sent only on request
	ColdStartShare          float64 // share of its capacity that an engine has at its start, at least
	WarmUpTime              float64 // time from its start until an engine is warm
	OverloadMultiple        float64 // an engine fails when it is sent more than this multiple of its capacity
	OverloadWindow          float64 // over this time
	Tick                    float64 // clock resolution: the shortest time between two calls at different times
	CrossCellPrice          float64 // price of moving a state to another cell, as a share of the value
	CrossZonePrice          float64 // price of a dispatch to another zone, as a share of the value
}

// Workload is a class of completions.
type Workload struct {
	LatencyTarget         float64 // target time to the first token
	LatencyTargetPerToken float64 // added to the target for each prompt token
	InterTokenTarget      float64 // target mean time between output tokens
	Value                 float64 // value of one unit of its work
	Idempotency           Idempotency
	DedupScope            DedupScope // engines that recognise the repeat of a tokened completion
	DedupWindow           float64    // how long they recognise it
}

// Tenant is one of the parties that share the engines.
type Tenant struct {
	Rate float64 // completions per second over all routers that its share allows
}

// Role says which stages of a completion the engines of a machine kind run.
type Role uint8

// Roles.
const (
	Reader Role = iota
	Writer
	Mixed
)

// Idempotency says whether a completion may run more than once.
type Idempotency uint8

// Idempotency classes.
const (
	Idempotent Idempotency = iota
	Tokened
	NonIdempotent
)

// DedupScope is the set of engines that recognise the repeat of a tokened completion.
type DedupScope uint8

// Deduplication scopes.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Phase is the state of an engine in the engine list.
type Phase uint8

// Phases.
const (
	Gone Phase = iota
	Ready
	Draining
)

// ListKind says how to apply the entries of an engine list.
type ListKind uint8

// Kinds of engine list.
const (
	ListDelta          ListKind = iota // only the entries that changed
	ListSnapshot                       // all engines
	ListCachedSnapshot                 // all engines, from a cached copy
	ListFailed                         // the list could not be fetched
)

// EngineEntry is one entry of the engine list.
type EngineEntry struct {
	Index       int    // small, the same for the engine's whole life
	Hash        uint64 // of the engine's identity, the same at every router; used only for hashing
	Zone        int
	MachineKind int
	Cell        int
	Phase       Phase
	StartedAt   float64 // on the instance's clock; far below 0 for long ago
}

// Prompt describes a completion when it arrives.
type Prompt struct {
	Workload           int
	Tenant             int
	Session            uint64
	SharedPrefix       uint64  // hash of the prefix shared with other sessions, 0 for none
	SharedPrefixTokens float64 // length of the shared prefix
	Tokens             float64 // prompt length, the shared prefix included
	MaxOutputTokens    float64
	OutputTimeHint     float64 // expected time of the output in seconds at the inter-token target, 0 for unknown
	TimeLeft           float64 // seconds until the client timeout
	Resumed            bool    // the client requests the rest of a stream that broke
}

// Outcome is how a dispatch or a probe ended.
type Outcome uint8

// Outcomes.
const (
	Finished    Outcome = iota
	Read                // the prompt is read, its state waits at the reader
	Errored             // may have run
	Full                // rejected by the engine; did not run
	TimedOut            // may have run
	Unreachable         // did not run
	Broken              // the connection broke; may have run
	Cancelled           // may have run
	NotSent             // was never sent
)

// Actions carries out the router's decisions. Each call takes effect at once, in the order of the calls.
type Actions interface {
	// Dispatch sends the completion to an engine and waits up to timeout seconds. Its last byte must be written before
	// the time sendBy, in seconds since the instance started; a call that cannot be ends as NotSent or Unreachable.
	Dispatch(completion uint64, engine int, timeout, sendBy float64)
	Reserve(completion uint64, engine int) // reserve KV cache space for the completion at a writer
	Release(completion uint64)             // release its state and its reservation
	RateLimit(completion uint64, retryAfter float64)
	Abort(completion uint64)
	Cancel(completion uint64, dispatch int)
	SetTimer(completion uint64, after float64) // calls Completion.TimerFired after that time
	SetRouterTimer(after float64)              // calls Router.TimerFired after that time
	Probe(engine int)
	WatchEngines() // request the engine list and its changes
	Log(text string)
}
