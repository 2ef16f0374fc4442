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

const validRouter = `machines { name: "w" role: WRITER }
workloads { name: "chat" effect: IDEMPOTENT }
list { url: "http://127.0.0.1:1/v1/engines" }
`

func TestParseErrors(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"unknown field":           {validRouter + "odd: 3", "f:4: unknown field: odd"},
		"not text format":         {validRouter + "drain_grace_s: {", "f:4: "},
		"wrong type":              {validRouter + "\nrouters: \"x\"", "f:5: "},
		"out of range":            {validRouter + "# a comment\n\ndrain_grace_s: 61", "f:6: drain_grace_s: 61 is out of range: from 0 to 60"},
		"NaN":                     {validRouter + "let_go_s: nan", "f:4: let_go_s: NaN is out of range: from 0.05 to 60"},
		"inside a message":        {validRouter + "timing {\n  tick_ms: 0\n}", "f:5: timing.tick_ms: 0 is out of range: from 1 to 1000"},
		"in the second item":      {validRouter + "workloads {\n  name: \"b\"\n  value: -1\n}", "f:6: workloads[1].value: -1 is out of range"},
		"missing name":            {validRouter + "workloads {\n value: 1 }", "f:4: workloads[1].name: is missing"},
		"empty file":              {"", "f: machines: is missing"},
		"duplicate name":          {validRouter + "workloads { name: \"chat\" }", "f:4: workloads[1].name: \"chat\" is a duplicate"},
		"duplicate model":         {validRouter + "workloads { name: \"b\" models: \"x\" models: \"chat\" }", "f:4: workloads[1].models[1]: \"chat\" is a duplicate"},
		"no list":                 {strings.ReplaceAll(validRouter, `url: "http://127.0.0.1:1/v1/engines"`, ""), "f:3: list: must have either url or file"},
		"both lists":              {strings.ReplaceAll(validRouter, "list {", `list { file: "x"`), "f:3: list: must have either url or file"},
		"bad URL":                 {strings.ReplaceAll(validRouter, "http://", "gopher://"), "f:3: list.url: \"gopher://127.0.0.1:1/v1/engines\" is not an http:// URL"},
		"no writer":               {strings.ReplaceAll(validRouter, "WRITER", "READER"), "f:1: machines: no machine can write"},
		"no role":                 {strings.ReplaceAll(validRouter, "role: WRITER", ""), "machines[0].role: is missing"},
		"bad key hash":            {validRouter + `tenants { name: "a" key_sha256: "12" }`, "f:4: tenants[0].key_sha256[0]: must be the 64 hex digits"},
		"tenant without key":      {validRouter + `tenants { name: "a" }`, "f:4: tenants[0]: has no key and is not anonymous"},
		"two anonymous":           {validRouter + `tenants { name: "a" anonymous: true } tenants { name: "b" anonymous: true }`, "tenants[1].anonymous: another tenant is already anonymous"},
		"bad address":             {validRouter + `listen: "nowhere"`, "f:4: listen: \"nowhere\" is not an address"},
		"bad port":                {validRouter + `listen: "127.0.0.1:70000"`, "f:4: listen: "},
		"metric without name":     {validRouter + `reports { waiting {} }`, "f:4: reports.waiting: sets neither orca nor prometheus"},
		"margin below four ticks": {validRouter + `timing { answer_margin_ms: 10 }`, "f:4: timing.answer_margin_ms: 10 is less than four ticks"},
		"bad source address":      {validRouter + `source_address: "host"`, "f:4: source_address: \"host\" is not an IP address"},
		"unknown enum name":       {validRouter + "workloads { name: \"b\" effect: TWICE }", "f:4: "},
		"client without identity": {validRouter + `admission { clients { name: "a" } }`, "f:4: admission.clients[0]: has no key, range or certificate"},
		"duplicate client":        {validRouter + `admission { clients { name: "a" ranges: "10.0.0.0/8" } clients { name: "a" ranges: "10.0.0.0/8" } }`, "is a duplicate"},
		"bad range":               {validRouter + `admission { clients { name: "a" ranges: "10.0.0.0" } }`, "f:4: admission.clients[0].ranges[0]: \"10.0.0.0\" is not an address range"},
		"bad client key hash":     {validRouter + `admission { clients { name: "a" key_sha256: "ab" } }`, "admission.clients[0].key_sha256[0]: must be the 64 hex digits"},
		"unknown tenant":          {validRouter + `admission { clients { name: "a" ranges: "10.0.0.0/8" tenant: "x" } }`, "admission.clients[0].tenant: \"x\" is not one of tenants"},
		"admission and file":      {validRouter + `admission { off: true } admission_file: "x"`, "admission_file: must not be set together with admission"},
		"no key file":             {validRouter + `tls { certificate_file: "x" }`, "f:4: tls.key_file: is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, Parse("f", []byte(tc.text), &pb.Router{}), tc.want)
		})
	}
	assert.NoError(t, Parse("f", []byte(validRouter), &pb.Router{}))
	assert.ErrorContains(t, Load("/nowhere/at/all", &pb.Router{}), "/nowhere/at/all")
	err := Parse("f", []byte(validRouter+"let_go_s: 0\ndrain_grace_s: 99"), &pb.Router{})
	assert.ErrorContains(t, err, "let_go_s")
	assert.ErrorContains(t, err, "drain_grace_s", "all errors are reported")
}

func TestParseDayErrors(t *testing.T) {
	text, err := fs.ReadFile(deploy.Files, "days/sunday.textproto")
	require.NoError(t, err)
	for trouble, want := range map[string]string{
		`kind: SLOW engines: "nobody"`:         "\"nobody\" is neither an engine nor an engine set",
		`kind: ZONE_CUT zone: "z"`:             "requires one of the zones, not \"z\"",
		`kind: WORKLOAD_FAILS`:                 "requires one of the workloads, not \"\"",
		`kind: ROUTER_KILLED router: "x"`:      "requires one of the routers",
		`kind: FAILS_FAST size: 3`:             "3 is out of range: it is a share",
		`at_s: 3`:                              "kind: is missing",
		`kind: SLOW at_s: -1`:                  "at_s: -1 is out of range",
		`kind: SLOW engines: "writer-4"`:       "",
		`kind: SLOW engines: "writer" size: 9`: "",
	} {
		err := Parse("f", append(append([]byte(nil), text...), "\ntroubles { "+trouble+" }\n"...), &pb.Day{})
		if want == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, want)
		}
	}
}

// TestEmbeddedFiles checks every embedded file of deploy/ against its schema, and that its settings with defaults parse to
// themselves once formatted.
func TestEmbeddedFiles(t *testing.T) {
	files := 0
	require.NoError(t, fs.WalkDir(deploy.Files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		files++
		text, err := fs.ReadFile(deploy.Files, name)
		require.NoError(t, err)
		newMessage := func() proto.Message {
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
		m := newMessage()
		require.NoError(t, Parse(name, text, m))
		reparsed := newMessage()
		require.NoError(t, Parse(name, []byte(Format(WithDefaults(m))), reparsed))
		assert.True(t, proto.Equal(WithDefaults(m), reparsed), name)
		return nil
	}))
	assert.GreaterOrEqual(t, files, 6)
}

func TestDecideSettings(t *testing.T) {
	r := &pb.Router{}
	require.NoError(t, Parse("f", []byte(validRouter+`machines { name: "r" role: READER memory_tokens: 5000 }
workloads { name: "b" effect: TOKENED group: CELL remembered_s: 9 latency_target_s_per_1000_tokens: 0.5 value: 2 token_target_ms: 80 }
workloads { name: "c" }
tenants { name: "t" anonymous: true share_per_s: 4 }
routers: 3 seed: 5 cold { warm_s: 9 } prices { far_state: 0.5 } allowed { probes: false }`), r))
	s := DecideSettings(r)
	assert.Equal(t, []decide.Role{decide.Writer, decide.Reader}, s.Roles)
	assert.Equal(t, []float64{150000, 5000}, s.Memory)
	assert.Equal(t, decide.Workload{LatencyTarget: 1.5, LatencyTargetPerToken: 0.0005, InterTokenTarget: 0.08, Value: 2, Idempotency: decide.Tokened, DedupScope: decide.DedupCell, DedupWindow: 9}, s.Workloads[1])
	assert.Equal(t, decide.NonIdempotent, s.Workloads[2].Idempotency, "the default is the strictest")
	assert.Equal(t, []decide.Tenant{{Rate: 4}}, s.Tenants)
	assert.Equal(t, []string{"queue", "x0"}, s.ReportColumns, "the two load metrics of vLLM")
	assert.Equal(t, []any{3, uint64(5), 9.0, 0.5, false, 0.005}, []any{s.Routers, s.Seed, s.WarmUpTime, s.CrossCellPrice, s.ProbesAllowed, s.Tick})
	_, err := decide.New(s, nil)
	assert.NoError(t, err)
}

// FuzzParse checks that any text gives either settings that a router can start with or an error that names the file.
func FuzzParse(f *testing.F) {
	f.Add(validRouter)
	f.Add(validRouter + "workloads [{name: 'x'}, {name: 'y' value: 1e309}]")
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

func TestAdmissionConfig(t *testing.T) {
	keyHash := strings.Repeat("ab", 32)
	r := &pb.Router{}
	require.NoError(t, Parse("f", []byte(validRouter+fmt.Sprintf(`tenants { name: "t" key_sha256: %q } tenants { name: "all" anonymous: true }
admission { clients { name: "office" tenant: "t" ranges: "10.1.0.0/16" } clients { name: "guest" certificates: "g.example" } }`, keyHash)), r))
	admission, budget, err := AdmissionConfig(r, r.GetAdmission(), 20000)
	require.NoError(t, err)
	assert.Equal(t, 20000, budget.Process+budget.Admin+budget.Peers+budget.Connections+budget.Closing+budget.Engines)
	s := admission.Settings
	assert.Equal(t, budget.Connections, s.MaxConnections)
	assert.Equal(t, budget.MaxCompletions, s.MaxCompletions)
	assert.Less(t, s.ReservedConnections+s.MaxProvisional, s.MaxConnections)
	assert.Positive(t, s.ReservedCompletions)
	var names []string
	for _, c := range admission.Clients {
		names = append(names, c.Name)
	}
	assert.Equal(t, []string{"t", "office", "guest"}, names)
	assert.Equal(t, []int{0, 0, -1}, admission.ClientTenants)

	for _, limit := range []int{256, 1024, 4096, 1 << 20} { // the defaults must fit any descriptor limit
		_, budget, err := AdmissionConfig(r, nil, limit)
		require.NoError(t, err, "%d", limit)
		assert.Positive(t, budget.MaxCompletions)
	}
	_, _, err = AdmissionConfig(r, &pb.Admission{MaxConnections: proto.Int32(5000)}, 1024)
	assert.ErrorContains(t, err, "1024 descriptors = 64 own + 32 admin + 0 peers + 5000 client connections")
	assert.ErrorContains(t, err, "nothing is left for engines")

	r.AdmissionFile, r.Admission = proto.String("x"), nil
	assert.NoError(t, Parse("f", []byte(Format(WithDefaults(r))), &pb.Router{}), "formatted settings must parse")
}

func TestLabExperiment(t *testing.T) {
	const validExperiment = `variants { name: "a" } days { name: "d" groups { role: WRITER count: 2 } loads { workload: "w" }
router { machines { name: "m" role: MIXED } workloads { name: "w" value: 2 client_timeout_s: 4 } list {} } }`
	x := &pb.Experiment{}
	require.NoError(t, Parse("f", []byte(validExperiment), x))
	experiment := LabExperiment(x)
	assert.Len(t, experiment.Seeds, 6)
	assert.Equal(t, 4.0, experiment.Days[0].Loads[0].ClientTimeout)
	assert.Equal(t, 0.002, experiment.Days[0].Loads[0].ValuePerToken)
	results, err := experiment.Run(t.Context())
	require.NoError(t, err)
	assert.Positive(t, results.Results[0][0][0].Finished)
	file := filepath.Join(t.TempDir(), "results")
	saved := LabResults(x, results)
	require.NoError(t, SaveResults(file, saved))
	loaded, err := LoadResults(file)
	require.NoError(t, err)
	assert.True(t, proto.Equal(saved, loaded))
	for _, r := range loaded.GetResults() {
		r.Score = proto.Float64(r.GetScore() - 0.1)
	}
	differences, err := CompareResults(saved, loaded)
	require.NoError(t, err)
	assert.InDelta(t, -0.1, differences[0].Mean, 1e-9)
	assert.True(t, differences[0].Distinct)
	_, err = CompareResults(saved, &pb.LabResults{})
	assert.ErrorContains(t, err, "in common")
	require.NoError(t, os.WriteFile(file, []byte("odd"), 0o600))
	_, err = LoadResults(file)
	assert.ErrorContains(t, err, "not a results file written by lab run --save")
	for text, want := range map[string]string{
		strings.Replace(validExperiment, `workload: "w"`, `workload: "x"`, 1):                    `days[0].loads[0].workload: "x" is not one`,
		strings.Replace(validExperiment, "role: WRITER", "role: READER", 1):                      "days[0].groups: no group can write",
		strings.Replace(validExperiment, "count: 2", "count: 2 step_ms: 0 read_us: 0", 1):        "a step would take no time",
		strings.Replace(validExperiment, "loads {", "troubles { group: 3 } loads {", 1):          "troubles[0].group: 3 is not a group: there are 1,",
		strings.Replace(validExperiment, "loads {", "troubles { first: 1 count: 2 } loads {", 1): "engines 1 to 2 are out of range: the group has 2",
		validExperiment + `variants { name: "b" peers { lease_s: 1 } }`:                          "variants[1].peers.lease_s: 1 is not greater than settle_s (2)",
		validExperiment + `variants { name: "a" }`:                                               "is a duplicate",
		strings.Replace(validExperiment, "count: 2", "count: 0", 1):                              "days[0].groups[0].count: 0 is out of range",
	} {
		assert.ErrorContains(t, Parse("f", []byte(text), &pb.Experiment{}), want)
	}
	for p, b := range map[pb.LabVariant_Policy]lab.Baseline{pb.LabVariant_DECIDE: lab.NoBaseline, pb.LabVariant_RANDOM: lab.Random,
		pb.LabVariant_LEAST_OWN: lab.LeastOutstanding, pb.LabVariant_TWO_CHOICES: lab.TwoChoices, pb.LabVariant_PREFIX_ONLY: lab.PrefixOnly} {
		assert.Equal(t, b, lab.Baseline(p), "both enums must have the same numbers")
	}
	for p, k := range map[pb.LabTrouble_Kind]lab.TroubleKind{pb.LabTrouble_PAUSE: lab.Pause, pb.LabTrouble_SLOW: lab.Slow, pb.LabTrouble_CREEP: lab.Creep,
		pb.LabTrouble_DIE: lab.Die, pb.LabTrouble_SITE_OUT: lab.SiteOut, pb.LabTrouble_DRAINED: lab.Drained} {
		assert.Equal(t, k, lab.TroubleKind(p), "both enums must have the same numbers")
	}
}
