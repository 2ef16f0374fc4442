package config

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/deploy"
	"cherryhub/internal/lab"
	pb "cherryhub/proto"
)

const good = `machines { name: "w" role: WRITER }
workloads { name: "chat" effect: IDEMPOTENT }
list { url: "http://127.0.0.1:1/v1/engines" }
`

func TestProblems(t *testing.T) {
	for name, c := range map[string]struct{ text, says string }{
		"unknown field":        {good + "odd: 3", "f:4: unknown field: odd"},
		"not text format":      {good + "drain_grace_s: {", "f:4: "},
		"wrong type":           {good + "\nrouters: \"x\"", "f:5: "},
		"out of range":         {good + "# a comment\n\ndrain_grace_s: 61", "f:6: drain_grace_s: 61 is out of range: from 0 to 60"},
		"NaN":                  {good + "let_go_s: nan", "f:4: let_go_s: NaN is out of range: from 0.05 to 60"},
		"inside a message":     {good + "timing {\n  tick_ms: 0\n}", "f:5: timing.tick_ms: 0 is out of range: from 1 to 1000"},
		"of the second":        {good + "workloads {\n  name: \"b\"\n  value: -1\n}", "f:6: workloads[1].value: -1 is out of range"},
		"missing name":         {good + "workloads {\n value: 1 }", "f:4: workloads[1].name: is missing"},
		"nothing":              {"", "f: machines: is missing"},
		"twice":                {good + "workloads { name: \"chat\" }", "f:4: workloads[1].name: \"chat\" is there twice"},
		"model twice":          {good + "workloads { name: \"b\" models: \"x\" models: \"chat\" }", "f:4: workloads[1].models[1]: \"chat\" is there twice"},
		"no list":              {strings.ReplaceAll(good, `url: "http://127.0.0.1:1/v1/engines"`, ""), "f:3: list: wants either url or file"},
		"both lists":           {strings.ReplaceAll(good, "list {", `list { file: "x"`), "f:3: list: wants either url or file"},
		"no URL":               {strings.ReplaceAll(good, "http://", "gopher://"), "f:3: list.url: \"gopher://127.0.0.1:1/v1/engines\" is no http:// URL"},
		"nobody writes":        {strings.ReplaceAll(good, "WRITER", "READER"), "f:1: machines: none can write"},
		"no role":              {strings.ReplaceAll(good, "role: WRITER", ""), "machines[0].role: is missing"},
		"a key":                {good + `tenants { name: "a" key_sha256: "12" }`, "f:4: tenants[0].key_sha256[0]: must be the 64 hex digits"},
		"a tenant of nobody":   {good + `tenants { name: "a" }`, "f:4: tenants[0]: has no key and is not anonymous"},
		"two anonymous":        {good + `tenants { name: "a" anonymous: true } tenants { name: "b" anonymous: true }`, "tenants[1].anonymous: another tenant"},
		"an address":           {good + `listen: "nowhere"`, "f:4: listen: \"nowhere\" is no address"},
		"a port":               {good + `listen: "127.0.0.1:70000"`, "f:4: listen: "},
		"no figure":            {good + `reports { waiting {} }`, "f:4: reports.waiting: names neither orca nor prometheus"},
		"margin under ticks":   {good + `timing { answer_margin_ms: 10 }`, "f:4: timing.answer_margin_ms: 10 is under four ticks"},
		"source no IP":         {good + `source_address: "host"`, "f:4: source_address: \"host\" is no IP address"},
		"an unknown enum name": {good + "workloads { name: \"b\" effect: TWICE }", "f:4: "},
		"a client of nobody":   {good + `admission { clients { name: "a" } }`, "f:4: admission.clients[0]: has no key, range or certificate"},
		"a client twice":       {good + `admission { clients { name: "a" ranges: "10.0.0.0/8" } clients { name: "a" ranges: "10.0.0.0/8" } }`, "is there twice"},
		"no range":             {good + `admission { clients { name: "a" ranges: "10.0.0.0" } }`, "f:4: admission.clients[0].ranges[0]: \"10.0.0.0\" is no range"},
		"a client's key":       {good + `admission { clients { name: "a" key_sha256: "ab" } }`, "admission.clients[0].key_sha256[0]: must be the 64 hex digits"},
		"its tenant":           {good + `admission { clients { name: "a" ranges: "10.0.0.0/8" tenant: "x" } }`, "admission.clients[0].tenant: \"x\" is none of tenants"},
		"admission twice":      {good + `admission { off: true } admission_file: "x"`, "admission_file: is there besides admission"},
		"no key file":          {good + `tls { certificate_file: "x" }`, "f:4: tls.key_file: is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, Parse("f", []byte(c.text), &pb.Router{}), c.says)
		})
	}
	assert.NoError(t, Parse("f", []byte(good), &pb.Router{}))
	assert.ErrorContains(t, Load("/nowhere/at/all", &pb.Router{}), "/nowhere/at/all")
	err := Parse("f", []byte(good+"let_go_s: 0\ndrain_grace_s: 99"), &pb.Router{})
	assert.ErrorContains(t, err, "let_go_s")
	assert.ErrorContains(t, err, "drain_grace_s", "all problems are told")
}

func TestDayProblems(t *testing.T) {
	text, err := fs.ReadFile(deploy.Files, "days/sunday.textproto")
	require.NoError(t, err)
	for trouble, says := range map[string]string{
		`kind: SLOW engines: "nobody"`:         "\"nobody\" is no engine and no set",
		`kind: ZONE_CUT zone: "z"`:             "wants one of the zones, not \"z\"",
		`kind: WORKLOAD_FAILS`:                 "wants one of the workloads, not \"\"",
		`kind: ROUTER_KILLED router: "x"`:      "wants one of the routers",
		`kind: FAILS_FAST size: 3`:             "3 is out of range: it is a share",
		`at_s: 3`:                              "kind: is missing",
		`kind: SLOW at_s: -1`:                  "at_s: -1 is out of range",
		`kind: SLOW engines: "writer-4"`:       "",
		`kind: SLOW engines: "writer" size: 9`: "",
	} {
		err := Parse("f", append(append([]byte(nil), text...), "\ntroubles { "+trouble+" }\n"...), &pb.Day{})
		if says == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, says)
		}
	}
}

// TestShipped holds every file of deploy/ to its schema, and its effective text to itself.
func TestShipped(t *testing.T) {
	seen := 0
	require.NoError(t, fs.WalkDir(deploy.Files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		seen++
		text, err := fs.ReadFile(deploy.Files, name)
		require.NoError(t, err)
		empty := func() proto.Message {
			switch {
			case strings.HasPrefix(name, "days/"):
				return &pb.Day{}
			case strings.HasPrefix(name, "labs/"):
				return &pb.Experiment{}
			case strings.Contains(path.Base(name), "fleet"):
				return &pb.Fleet{}
			}
			return &pb.Router{}
		}
		m := empty()
		require.NoError(t, Parse(name, text, m))
		again := empty()
		require.NoError(t, Parse(name, []byte(Format(WithDefaults(m))), again))
		assert.True(t, proto.Equal(WithDefaults(m), again), name)
		return nil
	}))
	assert.GreaterOrEqual(t, seen, 6)
}

func TestDecide(t *testing.T) {
	r := &pb.Router{}
	require.NoError(t, Parse("f", []byte(good+`machines { name: "r" role: READER memory_tokens: 5000 }
workloads { name: "b" effect: TOKENED group: CELL remembered_s: 9 latency_target_s_per_1000_tokens: 0.5 value: 2 token_target_ms: 80 }
workloads { name: "c" }
tenants { name: "t" anonymous: true share_per_s: 4 }
routers: 3 seed: 5 cold { warm_s: 9 } prices { far_state: 0.5 } allowed { probes: false }`), r))
	s := DecideSettings(r)
	assert.Equal(t, []decide.Role{decide.Writer, decide.Reader}, s.Roles)
	assert.Equal(t, []float64{150000, 5000}, s.Memory)
	assert.Equal(t, decide.Workload{LatencyTarget: 1.5, LatencyTargetPerToken: 0.0005, InterTokenTarget: 0.08, Value: 2, Idempotency: decide.Tokened, DedupScope: decide.DedupCell, DedupWindow: 9}, s.Workloads[1])
	assert.Equal(t, decide.NonIdempotent, s.Workloads[2].Idempotency, "where nothing is said the strictest holds")
	assert.Equal(t, []decide.Tenant{{Rate: 4}}, s.Tenants)
	assert.Equal(t, []string{"queue", "x0"}, s.ReportColumns, "vLLM's two figures")
	assert.Equal(t, []any{3, uint64(5), 9.0, 0.5, false, 0.005}, []any{s.Routers, s.Seed, s.WarmUpTime, s.CrossCellPrice, s.ProbesAllowed, s.Tick})
	_, err := decide.New(s, nil)
	assert.NoError(t, err)
}

// FuzzParse: any text gives settings that can be started, or an error with a file's name.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(good + "workloads [{name: 'x'}, {name: 'y' value: 1e309}]")
	f.Add("list: <url: 'http://a'>")
	f.Fuzz(func(t *testing.T, text string) {
		r := &pb.Router{}
		if err := Parse("file", []byte(text), r); err != nil {
			require.ErrorContains(t, err, "file")
			return
		}
		_, err := decide.New(DecideSettings(r), nil)
		require.NoError(t, err)
		EdgeOptions(r, r.GetAdmission())
		EngineOptions(r)
		PlannerOptions(r)
	})
}

func TestRules(t *testing.T) {
	sum := strings.Repeat("ab", 32)
	r := &pb.Router{}
	require.NoError(t, Parse("f", []byte(good+fmt.Sprintf(`tenants { name: "t" key_sha256: %q } tenants { name: "all" anonymous: true }
admission { clients { name: "office" tenant: "t" ranges: "10.1.0.0/16" } clients { name: "guest" certificates: "g.example" } }`, sum)), r))
	rules, d, err := AdmissionConfig(r, r.GetAdmission(), 20000)
	require.NoError(t, err)
	assert.Equal(t, 20000, d.Process+d.Admin+d.Peers+d.Connections+d.Closing+d.Engines)
	s := rules.Settings
	assert.Equal(t, d.Connections, s.MaxConnections)
	assert.Equal(t, d.MaxCompletions, s.MaxCompletions)
	assert.Less(t, s.ReservedConnections+s.MaxProvisional, s.MaxConnections)
	assert.Positive(t, s.ReservedCompletions)
	var names []string
	for _, c := range rules.Clients {
		names = append(names, c.Name)
	}
	assert.Equal(t, []string{"t", "office", "guest"}, names)
	assert.Equal(t, []int{0, 0, -1}, rules.ClientTenants)

	for _, limit := range []int{256, 1024, 4096, 1 << 20} { // the defaults fit whatever a machine gives
		_, d, err := AdmissionConfig(r, nil, limit)
		require.NoError(t, err, "%d", limit)
		assert.Positive(t, d.MaxCompletions)
	}
	_, _, err = AdmissionConfig(r, &pb.Admission{MaxConnections: proto.Int32(5000)}, 1024)
	assert.ErrorContains(t, err, "1024 descriptors = 64 own + 32 admin + 0 peers + 5000 client connections")
	assert.ErrorContains(t, err, "nothing is left for engines")

	r.AdmissionFile, r.Admission = proto.String("x"), nil
	assert.NoError(t, Parse("f", []byte(Format(WithDefaults(r))), &pb.Router{}), "what is printed can be read")
}

func TestExperiment(t *testing.T) {
	const good = `variants { name: "a" } days { name: "d" groups { role: WRITER count: 2 } loads { workload: "w" }
router { machines { name: "m" role: MIXED } workloads { name: "w" value: 2 client_timeout_s: 4 } list {} } }`
	x := &pb.Experiment{}
	require.NoError(t, Parse("f", []byte(good), x))
	e := LabExperiment(x)
	assert.Len(t, e.Seeds, 6)
	assert.Equal(t, 4.0, e.Days[0].Loads[0].ClientTimeout)
	assert.Equal(t, 0.002, e.Days[0].Loads[0].ValuePerToken)
	o, err := e.Run(t.Context())
	require.NoError(t, err)
	assert.Positive(t, o.Results[0][0][0].Finished)
	file := filepath.Join(t.TempDir(), "results")
	kept := LabResults(x, o)
	require.NoError(t, SaveResults(file, kept))
	again, err := LoadResults(file)
	require.NoError(t, err)
	assert.True(t, proto.Equal(kept, again))
	for _, r := range again.GetResults() {
		r.Score = proto.Float64(r.GetScore() - 0.1)
	}
	differences, err := CompareResults(kept, again)
	require.NoError(t, err)
	assert.InDelta(t, -0.1, differences[0].Mean, 1e-9)
	assert.True(t, differences[0].Distinct)
	_, err = CompareResults(kept, &pb.LabResults{})
	assert.ErrorContains(t, err, "in common")
	require.NoError(t, os.WriteFile(file, []byte("odd"), 0o600))
	_, err = LoadResults(file)
	assert.ErrorContains(t, err, "no results of lab run --save")
	for text, want := range map[string]string{
		strings.Replace(good, `workload: "w"`, `workload: "x"`, 1):                    `days[0].loads[0].workload: "x" is none`,
		strings.Replace(good, "role: WRITER", "role: READER", 1):                      "days[0].groups: none can write",
		strings.Replace(good, "count: 2", "count: 2 step_ms: 0 read_us: 0", 1):        "a step would take no time",
		strings.Replace(good, "loads {", "troubles { group: 3 } loads {", 1):          "troubles[0].group: 3 is none of 1",
		strings.Replace(good, "loads {", "troubles { first: 1 count: 2 } loads {", 1): "engines 1 to 2 are more than the group's 2",
		good + `variants { name: "b" peers { lease_s: 1 } }`:                          "variants[1].peers.lease_s: 1 is not above settle_s, 2",
		good + `variants { name: "a" }`:                                               "is there twice",
		strings.Replace(good, "count: 2", "count: 0", 1):                              "days[0].groups[0].count: 0 is out of range",
	} {
		assert.ErrorContains(t, Parse("f", []byte(text), &pb.Experiment{}), want)
	}
	for p, b := range map[pb.LabVariant_Policy]lab.Baseline{pb.LabVariant_DECIDE: lab.NoBaseline, pb.LabVariant_RANDOM: lab.Random,
		pb.LabVariant_LEAST_OWN: lab.LeastOutstanding, pb.LabVariant_TWO_CHOICES: lab.TwoChoices, pb.LabVariant_PREFIX_ONLY: lab.PrefixOnly} {
		assert.Equal(t, b, lab.Baseline(p), "numbered alike")
	}
	for p, k := range map[pb.LabTrouble_Kind]lab.TroubleKind{pb.LabTrouble_PAUSE: lab.Pause, pb.LabTrouble_SLOW: lab.Slow, pb.LabTrouble_CREEP: lab.Creep,
		pb.LabTrouble_DIE: lab.Die, pb.LabTrouble_SITE_OUT: lab.SiteOut, pb.LabTrouble_DRAINED: lab.Drained} {
		assert.Equal(t, k, lab.TroubleKind(p), "numbered alike")
	}
}
