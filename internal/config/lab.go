package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cherryhub/internal/emulate"
	"cherryhub/internal/lab"
	pb "cherryhub/proto"
)

// checkExperiment checks what a schema can't express about an experiment.
func (c *checker) checkExperiment(x *pb.Experiment) {
	days, variants := map[string]bool{}, map[string]bool{}
	for i, v := range x.GetVariants() {
		c.checkUnique(variants, fmt.Sprintf("variants[%d].name", i), v.GetName())
		if p := v.GetPeers(); p != nil && p.GetLeaseS() <= p.GetSettleS() {
			c.addError(fmt.Sprintf("variants[%d].peers.lease_s", i), "%v is not greater than settle_s (%v)", p.GetLeaseS(), p.GetSettleS())
		}
	}
	for i, d := range x.GetDays() {
		prefix := fmt.Sprintf("days[%d].", i)
		c.checkUnique(days, prefix+"name", d.GetName())
		c.checkRouter(d.GetRouter(), prefix+"router.", false)
		workloads := map[string]bool{}
		for _, w := range d.GetRouter().GetWorkloads() {
			workloads[w.GetName()] = true
		}
		for j, l := range d.GetLoads() {
			if !workloads[l.GetWorkload()] {
				c.addError(fmt.Sprintf("%sloads[%d].workload", prefix, j), "%q is not one of the router's workloads", l.GetWorkload())
			}
		}
		hasWriter := false
		for j, g := range d.GetGroups() {
			if g.GetRole() == pb.Role_ROLE_UNSPECIFIED {
				c.addError(fmt.Sprintf("%sgroups[%d].role", prefix, j), "must be READER, WRITER or MIXED")
			}
			if g.GetStepMs() == 0 && (g.GetReadUs() == 0 || g.GetWriteUs() == 0) {
				c.addError(fmt.Sprintf("%sgroups[%d].step_ms", prefix, j), "0: a step would take no time; step_ms, or both read_us and write_us, must be above 0")
			}
			hasWriter = hasWriter || g.GetRole() != pb.Role_READER
		}
		if !hasWriter {
			c.addError(prefix+"groups", "no group can write: at least one must be WRITER or MIXED")
		}
		for j, t := range d.GetTroubles() {
			field := fmt.Sprintf("%stroubles[%d].", prefix, j)
			switch groups := d.GetGroups(); {
			case t.GetKind() == pb.LabTrouble_SITE_OUT:
			case int(t.GetGroup()) >= len(groups):
				c.addError(field+"group", "%d is not a group: there are %d, numbered from 0", t.GetGroup(), len(groups))
			case t.GetFirst()+t.GetCount() > groups[t.GetGroup()].GetCount():
				c.addError(field+"count", "engines %d to %d are out of range: the group has %d", t.GetFirst(), t.GetFirst()+t.GetCount()-1, groups[t.GetGroup()].GetCount())
			}
		}
	}
}

// LabExperiment converts an experiment to the simulator's form.
func LabExperiment(x *pb.Experiment) *lab.Experiment {
	experiment := &lab.Experiment{}
	for _, d := range x.GetDays() {
		experiment.Days = append(experiment.Days, labSettings(d))
	}
	for i := range x.GetSeeds() {
		experiment.Seeds = append(experiment.Seeds, uint64(i+1))
	}
	for _, v := range x.GetVariants() {
		experiment.Variants = append(experiment.Variants, lab.Variant{Name: v.GetName(), Apply: func(s *lab.Settings) {
			s.Baseline = lab.Baseline(v.GetPolicy()) // both enums have the same numbers
			if n := v.GetRouters(); n > 0 {
				s.Routers = int(n)
			}
			for i := range s.Loads {
				s.Loads[i].Rate *= v.GetLoad()
			}
			if v.GetNoTroubles() {
				s.Troubles = nil
			}
			if p := v.GetPeers(); p != nil {
				s.Peers = &lab.Peers{Interval: p.GetProbeIntervalS(), Candidates: int(p.GetCandidates()), Settle: p.GetSettleS(), Lease: p.GetLeaseS(),
					HandOver: p.GetHandOverS(), Seen: p.GetSeenS()}
			}
			if a := v.GetAllowed(); a != nil {
				s.Decide.ProbesAllowed, s.Decide.WriterReadsAllowed, s.Decide.CancelAllowed = a.GetProbes(), a.GetWritersRead(), a.GetCancels()
				s.Decide.MaxDispatches, s.Decide.MaxRetryAfter = int(a.GetMaxDispatches()), a.GetMaxComeBackS()
			}
		}})
	}
	return experiment
}

func labSettings(d *pb.LabDay) lab.Settings {
	r := proto.CloneOf(d.GetRouter())
	r.Seed = proto.Uint64(1) // replaced by the seeds of the experiment
	s := lab.Settings{Duration: d.GetLengthS(), Routers: int(d.GetRouters()), Zones: int(d.GetZones()), OneWayDelay: d.GetWayMs() / 1000,
		LinkTokensPerSecond: d.GetLinkTokensPerS(), ListDelay: d.GetListLateS(), Decide: DecideSettings(r)}
	s.Decide.ReservationsAllowed = false // the simulator has no reservations
	cold := r.GetCold()
	for _, g := range d.GetGroups() {
		s.Groups = append(s.Groups, lab.EngineGroup{Role: roleOf(g.GetRole()), Count: int(g.GetCount()), Zone: int(g.GetZone()), Cell: int(g.GetCell()),
			Model: emulate.Model{Slots: int(g.GetSlots()), Queue: int(g.GetQueue()), BlockTokens: int(g.GetBlockTokens()), Blocks: int(g.GetBlocks()),
				StepTokens: int(g.GetStepTokens()), StepBase: g.GetStepMs() / 1e3, ReadToken: g.GetReadUs() / 1e6, WriteToken: g.GetWriteUs() / 1e6,
				ContextToken: g.GetContextUs() / 1e6, StartShare: cold.GetStartShare(), Warm: cold.GetWarmS()}})
	}
	for _, l := range d.GetLoads() {
		for i, w := range r.GetWorkloads() {
			if w.GetName() == l.GetWorkload() {
				s.Loads = append(s.Loads, lab.Load{Rate: l.GetPerS(), Workload: i, MeanPromptTokens: l.GetPromptTokens(), SharedPrefixTokens: int(l.GetSharedTokens()),
					MeanOutputTokens: l.GetAnswerTokens(), ClientTimeout: w.GetClientTimeoutS(), MaxOutputTokens: int(w.GetMaxAnswerTokens()), Turns: int(l.GetTurns()),
					MeanTurnGap: l.GetTurnsApartS(), ValuePerToken: w.GetValue() / 1000})
			}
		}
	}
	for _, t := range d.GetTroubles() {
		s.Troubles = append(s.Troubles, lab.Trouble{Kind: lab.TroubleKind(t.GetKind()), At: t.GetAtS(), Duration: t.GetLengthS(), Group: int(t.GetGroup()), // both enums have the same numbers
			FirstEngine: int(t.GetFirst()), EngineCount: int(t.GetCount()), Zone: int(t.GetZone()), Slowdown: t.GetTimes()})
	}
	return s
}
