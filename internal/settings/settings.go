// Package settings parses the settings of a router instance. The same JSON object is sent to the simulator's
// adapter and is part of the platform's configuration, with the same names and units. internal/wire and
// internal/platform/service use it.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cherryhub/decide"
)

// Settings configures a router instance.
type Settings struct {
	Decide         decide.Settings
	Zones          []string
	MachineKinds   []string        // names of the machine kinds, in the order of Decide.Roles
	Workloads      []string        // names, in the order of Decide.Workloads
	ClientTimeouts []time.Duration // in the order of Decide.Workloads
	Tenants        []string        // names, in the order of Decide.Tenants

	EngineIdleTimeout time.Duration // after which an engine closes an idle connection
	ConnectTimeout    time.Duration
	HoldLimit         time.Duration // longest time that state may be held while no dispatch uses it
	ClientsResume     bool          // clients request the rest of a broken stream from another router
}

// Validate checks that the settings have all that a router of the platform needs: the names used by clients and
// service discovery, and the limits of connections and held state. The simulator's adapter does not need them.
func (s *Settings) Validate() error {
	for _, field := range [...]struct {
		name    string
		invalid bool
	}{
		{"settings.zones", len(s.Zones) == 0}, {"settings.my-zone", s.Decide.Zone < 0 || s.Decide.Zone >= len(s.Zones)},
		{"settings.kinds", len(s.MachineKinds) == 0 || len(s.MachineKinds) != len(s.Decide.Roles)},
		{"settings.lanes", len(s.Workloads) == 0}, {"settings.limits.conn-idle-ns", s.EngineIdleTimeout <= 0},
		{"settings.limits.connect-timeout-ns", s.ConnectTimeout <= 0}, {"settings.family-info.let-go-by-ns", s.HoldLimit <= 0},
	} {
		if field.invalid {
			return fmt.Errorf("%s: missing or out of range", field.name)
		}
	}
	return nil
}

var rolesByStage = map[string]decide.Role{"read": decide.Reader, "write": decide.Writer, "both": decide.Mixed}

// Parse parses the settings. It skips unknown keys. An absent optional key means that the site does not have the
// feature.
func Parse(text []byte) (Settings, error) {
	var raw struct {
		Routers        int      `json:"balancers"`
		MyZone         int      `json:"my-zone"`
		Zones          []string `json:"zones"`
		MachineKinds   []string `json:"kinds"`
		Tick           float64  `json:"granularity-ns"`
		OverShareValue float64  `json:"over-share-worth"`
		ListMode       string   `json:"registry-mode"`
		FamilyInfo     struct {
			LatencyTargetPer1000Tokens []float64 `json:"aim-us-per-1000-prompt-tokens"`
			ReservationsAllowed        bool      `json:"holds-allowed"`
			Memory                     []float64 `json:"kv-tokens"`
			HoldLimit                  float64   `json:"let-go-by-ns"`
			ClientsResume              bool      `json:"resume"`
			RoleOfKind                 []string  `json:"stage-of-kind"`
			InterTokenTarget           []float64 `json:"token-aim-ns"`
			CrossCellPrice             float64   `json:"transfer-price"`
			WriterReadsAllowed         bool      `json:"writers-read"`
		} `json:"family-info"`
		Workloads []struct {
			Name          string  `json:"name"`
			LatencyTarget float64 `json:"aim-ns"`
			ClientTimeout float64 `json:"give-up-ns"`
			Value         float64 `json:"worth"`
			Effect        string  `json:"effect"`
			DedupScope    string  `json:"group"`
			DedupWindow   float64 `json:"window-ns"`
		} `json:"lanes"`
		Limits struct {
			CancelAllowed     bool    `json:"cancel"`
			ProbesAllowed     bool    `json:"probes"`
			RetryAfter        bool    `json:"retry-after"`
			MaxRetryAfter     float64 `json:"max-retry-after-ns"`
			MaxDispatches     int     `json:"send-cap"`
			EngineIdleTimeout float64 `json:"conn-idle-ns"`
			ConnectTimeout    float64 `json:"connect-timeout-ns"`
		} `json:"limits"`
		Prices struct {
			CrossZonePrice float64 `json:"cross-zone"`
		} `json:"prices"`
		Rules struct {
			ColdStartShare   float64 `json:"cold-from"`
			WarmUpTime       float64 `json:"warm-up-ns"`
			OverloadMultiple float64 `json:"tip-multiple"`
			OverloadWindow   float64 `json:"fall-ns"`
		} `json:"rules"`
		Telemetry struct {
			ReportColumns []string `json:"columns"`
		} `json:"telemetry"`
		Tenants []struct {
			Name string  `json:"name"`
			Rate float64 `json:"allowance-per-s"`
		} `json:"tenants"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return Settings{}, fmt.Errorf("settings.%s: got %s, want %s, at byte %d", typeErr.Field, typeErr.Value, typeErr.Type, typeErr.Offset)
		}
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	family := raw.FamilyInfo
	router := decide.Settings{
		Routers: raw.Routers, Zone: raw.MyZone, Tick: raw.Tick / 1e9, OverShareValue: raw.OverShareValue,
		Memory: family.Memory, ReportColumns: raw.Telemetry.ReportColumns,
		ProbesAllowed: raw.Limits.ProbesAllowed, ReservationsAllowed: family.ReservationsAllowed, WriterReadsAllowed: family.WriterReadsAllowed,
		CancelAllowed: raw.Limits.CancelAllowed, MaxDispatches: raw.Limits.MaxDispatches,
		ListOnRequest:  raw.ListMode == "on_request",
		ColdStartShare: raw.Rules.ColdStartShare, WarmUpTime: raw.Rules.WarmUpTime / 1e9,
		OverloadMultiple: raw.Rules.OverloadMultiple, OverloadWindow: raw.Rules.OverloadWindow / 1e9,
		CrossCellPrice: family.CrossCellPrice, CrossZonePrice: raw.Prices.CrossZonePrice,
	}
	if raw.Limits.RetryAfter {
		router.MaxRetryAfter = raw.Limits.MaxRetryAfter / 1e9
	}
	for _, stage := range family.RoleOfKind {
		role, known := rolesByStage[stage]
		if !known {
			return Settings{}, fmt.Errorf("settings.family-info.stage-of-kind: %q is not one of read, write, both", stage)
		}
		router.Roles = append(router.Roles, role)
	}
	parsed := Settings{Zones: raw.Zones, MachineKinds: raw.MachineKinds, EngineIdleTimeout: time.Duration(raw.Limits.EngineIdleTimeout),
		ConnectTimeout: time.Duration(raw.Limits.ConnectTimeout), HoldLimit: time.Duration(family.HoldLimit), ClientsResume: family.ClientsResume}
	for i, rawWorkload := range raw.Workloads {
		workload := decide.Workload{LatencyTarget: rawWorkload.LatencyTarget / 1e9, Value: rawWorkload.Value, DedupWindow: rawWorkload.DedupWindow / 1e9}
		switch rawWorkload.Effect {
		case "free":
			workload.Idempotency = decide.Idempotent
		case "guarded":
			workload.Idempotency = decide.Tokened
		default: // an unknown effect is treated as the strictest
			workload.Idempotency = decide.NonIdempotent
		}
		switch rawWorkload.DedupScope {
		case "", "all":
			workload.DedupScope = decide.DedupAll
		case "zone":
			workload.DedupScope = decide.DedupZone
		default:
			workload.DedupScope = decide.DedupCell
		}
		if i < len(family.LatencyTargetPer1000Tokens) {
			workload.LatencyTargetPerToken = family.LatencyTargetPer1000Tokens[i] / 1e9
		}
		if i < len(family.InterTokenTarget) {
			workload.InterTokenTarget = family.InterTokenTarget[i] / 1e9
		}
		router.Workloads = append(router.Workloads, workload)
		parsed.Workloads = append(parsed.Workloads, rawWorkload.Name)
		parsed.ClientTimeouts = append(parsed.ClientTimeouts, time.Duration(rawWorkload.ClientTimeout))
	}
	for _, tenant := range raw.Tenants {
		router.Tenants = append(router.Tenants, decide.Tenant{Rate: tenant.Rate})
		parsed.Tenants = append(parsed.Tenants, tenant.Name)
	}
	parsed.Decide = router
	return parsed, nil
}
