// Package settings reads what an instance is told at its start: the same object on the bench's wire and in the
// platform's configuration, by the same names and units. internal/wire and internal/platform/service use it; it
// knows decide's settings and decides nothing.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cherryhub/decide"
)

// Settings are those of an instance.
type Settings struct {
	Decide         decide.Settings
	Zones          []string
	MachineKinds   []string        // names of the machine kinds, in the order of Decide.Roles
	Workloads      []string        // names, in the order of Decide.Workloads
	ClientTimeouts []time.Duration // client timeouts, in the same order
	Tenants        []string        // names, in the order of Decide.Tenants

	EngineIdleTimeout time.Duration // an engine closes a connection that was idle so long
	ConnectTimeout    time.Duration
	HoldLimit         time.Duration // a state is held no longer while no dispatch is out
	ClientsResume     bool          // clients ask elsewhere for the rest of a stream that broke
}

// Serves tells whether a real router can be run by these settings, which name what clients and discovery name.
func (s *Settings) Validate() error {
	for _, one := range [...]struct {
		name string
		bad  bool
	}{
		{"settings.zones", len(s.Zones) == 0}, {"settings.my-zone", s.Decide.Zone < 0 || s.Decide.Zone >= len(s.Zones)},
		{"settings.kinds", len(s.MachineKinds) == 0 || len(s.MachineKinds) != len(s.Decide.Roles)},
		{"settings.lanes", len(s.Workloads) == 0}, {"settings.limits.conn-idle-ns", s.EngineIdleTimeout <= 0},
		{"settings.limits.connect-timeout-ns", s.ConnectTimeout <= 0}, {"settings.family-info.let-go-by-ns", s.HoldLimit <= 0},
	} {
		if one.bad {
			return fmt.Errorf("%s: missing or out of range", one.name)
		}
	}
	return nil
}

var rolesByStage = map[string]decide.Role{"read": decide.Reader, "write": decide.Writer, "both": decide.Mixed}

// Parse reads the settings; unknown keys are skipped, an absent optional key means that the site lacks the thing.
func Parse(text []byte) (Settings, error) {
	var raw struct {
		Balancers  int      `json:"balancers"`
		MyZone     int      `json:"my-zone"`
		Zones      []string `json:"zones"`
		Kinds      []string `json:"kinds"`
		Tick       float64  `json:"granularity-ns"`
		OverShare  float64  `json:"over-share-worth"`
		Registry   string   `json:"registry-mode"`
		FamilyInfo struct {
			TargetPerThousand []float64 `json:"aim-us-per-1000-prompt-tokens"`
			HoldsAllowed      bool      `json:"holds-allowed"`
			KVTokens          []float64 `json:"kv-tokens"`
			LetGo             float64   `json:"let-go-by-ns"`
			Resume            bool      `json:"resume"`
			StageOfKind       []string  `json:"stage-of-kind"`
			TokenTarget       []float64 `json:"token-aim-ns"`
			TransferPrice     float64   `json:"transfer-price"`
			WritersRead       bool      `json:"writers-read"`
		} `json:"family-info"`
		Lanes []struct {
			Name   string  `json:"name"`
			Aim    float64 `json:"aim-ns"`
			GiveUp float64 `json:"give-up-ns"`
			Worth  float64 `json:"worth"`
			Effect string  `json:"effect"`
			Group  string  `json:"group"`
			Window float64 `json:"window-ns"`
		} `json:"lanes"`
		Limits struct {
			Cancel         bool    `json:"cancel"`
			Probes         bool    `json:"probes"`
			RetryAfter     bool    `json:"retry-after"`
			MaxRetryAfter  float64 `json:"max-retry-after-ns"`
			SendCap        int     `json:"send-cap"`
			ConnIdle       float64 `json:"conn-idle-ns"`
			ConnectTimeout float64 `json:"connect-timeout-ns"`
		} `json:"limits"`
		Prices struct {
			CrossZone float64 `json:"cross-zone"`
		} `json:"prices"`
		Rules struct {
			ColdFrom    float64 `json:"cold-from"`
			WarmUp      float64 `json:"warm-up-ns"`
			TipMultiple float64 `json:"tip-multiple"`
			Fall        float64 `json:"fall-ns"`
		} `json:"rules"`
		Telemetry struct {
			Columns []string `json:"columns"`
		} `json:"telemetry"`
		Tenants []struct {
			Name      string  `json:"name"`
			Allowance float64 `json:"allowance-per-s"`
		} `json:"tenants"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return Settings{}, fmt.Errorf("settings.%s: a %s where a %s is wanted, at byte %d", kind.Field, kind.Value, kind.Type, kind.Offset)
		}
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	fam := raw.FamilyInfo
	s := decide.Settings{
		Routers: raw.Balancers, Zone: raw.MyZone, Tick: raw.Tick / 1e9, OverShareValue: raw.OverShare,
		Memory: fam.KVTokens, ReportColumns: raw.Telemetry.Columns,
		ProbesAllowed: raw.Limits.Probes, ReservationsAllowed: fam.HoldsAllowed, WriterReadsAllowed: fam.WritersRead,
		CancelAllowed: raw.Limits.Cancel, MaxDispatches: raw.Limits.SendCap,
		ListOnRequest:  raw.Registry == "on_request",
		ColdStartShare: raw.Rules.ColdFrom, WarmUpTime: raw.Rules.WarmUp / 1e9,
		OverloadMultiple: raw.Rules.TipMultiple, OverloadWindow: raw.Rules.Fall / 1e9,
		CrossCellPrice: fam.TransferPrice, CrossZonePrice: raw.Prices.CrossZone,
	}
	if raw.Limits.RetryAfter {
		s.MaxRetryAfter = raw.Limits.MaxRetryAfter / 1e9
	}
	for _, stage := range fam.StageOfKind {
		role, known := rolesByStage[stage]
		if !known {
			return Settings{}, fmt.Errorf("settings.family-info.stage-of-kind: %q is none of read, write, both", stage)
		}
		s.Roles = append(s.Roles, role)
	}
	all := Settings{Zones: raw.Zones, MachineKinds: raw.Kinds, EngineIdleTimeout: time.Duration(raw.Limits.ConnIdle),
		ConnectTimeout: time.Duration(raw.Limits.ConnectTimeout), HoldLimit: time.Duration(fam.LetGo), ClientsResume: fam.Resume}
	for i, l := range raw.Lanes {
		w := decide.Workload{LatencyTarget: l.Aim / 1e9, Value: l.Worth, DedupWindow: l.Window / 1e9}
		switch l.Effect {
		case "free":
			w.Idempotency = decide.Idempotent
		case "guarded":
			w.Idempotency = decide.Tokened
		default: // an unknown kind is taken for the strictest
			w.Idempotency = decide.NonIdempotent
		}
		switch l.Group {
		case "", "all":
			w.DedupScope = decide.DedupAll
		case "zone":
			w.DedupScope = decide.DedupZone
		default:
			w.DedupScope = decide.DedupCell
		}
		if i < len(fam.TargetPerThousand) {
			w.LatencyTargetPerToken = fam.TargetPerThousand[i] / 1e9
		}
		if i < len(fam.TokenTarget) {
			w.InterTokenTarget = fam.TokenTarget[i] / 1e9
		}
		s.Workloads = append(s.Workloads, w)
		all.Workloads = append(all.Workloads, l.Name)
		all.ClientTimeouts = append(all.ClientTimeouts, time.Duration(l.GiveUp))
	}
	for _, t := range raw.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Rate: t.Allowance})
		all.Tenants = append(all.Tenants, t.Name)
	}
	all.Decide = s
	return all, nil
}
