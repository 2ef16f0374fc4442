package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"

	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

// refer checks what the schema can't say: references, names that must differ, addresses.
func (c *checker) checkReferences(m proto.Message) {
	switch m := m.(type) {
	case *pb.Router:
		c.checkRouter(m, "", true)
	case *pb.Fleet:
		c.checkFleet(m, "")
	case *pb.Day:
		c.checkDay(m)
	case *pb.Experiment:
		c.checkExperiment(m)
	case *pb.Admission:
		c.checkAdmission(m, "")
	}
}

func (c *checker) checkRouter(r *pb.Router, at string, list bool) {
	c.checkAddress(at+"listen", r.GetListen())
	if r.GetAdminListen() != "" {
		c.checkAddress(at+"admin_listen", r.GetAdminListen())
	}
	if s := r.GetSourceAddress(); s != "" && net.ParseIP(s) == nil {
		c.addError(at+"source_address", "%q is no IP address", s)
	}
	machines, writes := map[string]bool{}, false
	for i, m := range r.GetMachines() {
		c.checkUnique(machines, fmt.Sprintf("%smachines[%d].name", at, i), m.GetName())
		if m.GetRole() == pb.Role_ROLE_UNSPECIFIED {
			c.addError(fmt.Sprintf("%smachines[%d].role", at, i), "must be READER, WRITER or MIXED")
		}
		writes = writes || m.GetRole() != pb.Role_READER
	}
	if !writes {
		c.addError(at+"machines", "none can write: a WRITER or a MIXED one is wanted")
	}
	names, models := map[string]bool{}, map[string]bool{}
	for i, w := range r.GetWorkloads() {
		c.checkUnique(names, fmt.Sprintf("%sworkloads[%d].name", at, i), w.GetName())
		for j, m := range w.GetModels() {
			c.checkUnique(models, fmt.Sprintf("%sworkloads[%d].models[%d]", at, i, j), m)
		}
		if len(w.GetModels()) == 0 {
			c.checkUnique(models, fmt.Sprintf("%sworkloads[%d].name", at, i), w.GetName())
		}
	}
	c.checkTenants(r, at)
	c.checkEngineList(r, at, list)
	for i, one := range []*pb.Figure{r.GetReports().GetWaiting(), r.GetReports().GetSlotsUsed(),
		r.GetReports().GetMemoryHeld(), r.GetReports().GetThousandsWaiting()} {
		if one != nil && one.GetOrca() == "" && one.GetPrometheus() == "" {
			name := [...]string{"waiting", "slots_used", "memory_held", "thousands_waiting"}[i]
			c.addError(at+"reports."+name, "names neither orca nor prometheus")
		}
	}
	c.checkPeers(r, at)
	c.checkAdmission(r.GetAdmission(), at+"admission.")
	if r.GetAdmission() != nil && r.GetAdmissionFile() != "" {
		c.addError(at+"admission_file", "is there besides admission: wanted one of them")
	}
	tenants := map[string]bool{}
	for _, t := range r.GetTenants() {
		tenants[t.GetName()] = true
	}
	for i, k := range r.GetAdmission().GetClients() {
		if k.GetTenant() != "" && !tenants[k.GetTenant()] {
			c.addError(fmt.Sprintf("%sadmission.clients[%d].tenant", at, i), "%q is none of tenants", k.GetTenant())
		}
	}
	if margin := r.GetTiming().GetAnswerMarginMs(); margin < 4*r.GetTiming().GetTickMs() {
		c.addError(at+"timing.answer_margin_ms", "%v is under four ticks (timing.tick_ms %v): answers could come late", margin, r.GetTiming().GetTickMs())
	}
}

// admission checks what it can without knowing the descriptors that there are: that is done at the start.
func (c *checker) checkAdmission(a *pb.Admission, at string) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, k := range a.GetClients() {
		field := fmt.Sprintf("%sclients[%d]", at, i)
		c.checkUnique(names, field+".name", k.GetName())
		c.checkKeyHashes(keys, field, k.GetKeySha256())
		for j, text := range k.GetRanges() {
			if _, err := netip.ParsePrefix(text); err != nil {
				c.addError(fmt.Sprintf("%s.ranges[%d]", field, j), "%q is no range such as 10.1.0.0/16", text)
			}
		}
		if len(k.GetKeySha256())+len(k.GetRanges())+len(k.GetCertificates()) == 0 {
			c.addError(field, "has no key, range or certificate: nobody is this client")
		}
	}
}

func (c *checker) checkPeers(r *pb.Router, at string) {
	p := r.GetPeers()
	if p == nil {
		return
	}
	c.checkAddress(at+"peers.listen", p.GetListen())
	for i, s := range p.GetSeeds() {
		c.checkAddress(fmt.Sprintf("%speers.seeds[%d]", at, i), s)
	}
	if b, err := hex.DecodeString(p.GetKeyHex()); err != nil || len(b) != 16 && len(b) != 24 && len(b) != 32 {
		c.addError(at+"peers.key_hex", "must be 16, 24 or 32 bytes as hex")
	}
	if p.GetLeaseS() <= p.GetSettleS() {
		c.addError(at+"peers.lease_s", "%v is not above settle_s, %v", p.GetLeaseS(), p.GetSettleS())
	}
	if !r.GetAllowed().GetProbes() {
		c.addError(at+"peers", "has no duty where allowed.probes is false")
	}
}

// keys checks the sums of one holder's API keys; seen are all so far.
func (c *checker) checkKeyHashes(seen map[string]bool, holder string, sums []string) {
	for i, sum := range sums {
		field := fmt.Sprintf("%s.key_sha256[%d]", holder, i)
		if b, err := hex.DecodeString(sum); err != nil || len(b) != 32 {
			c.addError(field, "must be the 64 hex digits of a SHA-256")
		}
		c.checkUnique(seen, field, sum)
	}
}

func (c *checker) checkTenants(r *pb.Router, at string) {
	names, keys, anonymous := map[string]bool{}, map[string]bool{}, false
	for i, t := range r.GetTenants() {
		c.checkUnique(names, fmt.Sprintf("%stenants[%d].name", at, i), t.GetName())
		c.checkKeyHashes(keys, fmt.Sprintf("%stenants[%d]", at, i), t.GetKeySha256())
		if t.GetAnonymous() && anonymous {
			c.addError(fmt.Sprintf("%stenants[%d].anonymous", at, i), "another tenant is the anonymous one")
		}
		anonymous = anonymous || t.GetAnonymous()
		if len(t.GetKeySha256()) == 0 && !t.GetAnonymous() {
			c.addError(fmt.Sprintf("%stenants[%d]", at, i), "has no key and is not anonymous: nobody is this tenant")
		}
	}
}

func (c *checker) checkEngineList(r *pb.Router, at string, wanted bool) {
	l := r.GetList()
	switch {
	case !wanted:
		return
	case (l.GetUrl() == "") == (l.GetFile() == ""):
		c.addError(at+"list", "wants either url or file")
	case l.GetAsk() && l.GetUrl() == "":
		c.addError(at+"list.ask", "wants a url: a file is read again by itself")
	case l.GetUrl() != "":
		if u, err := url.Parse(l.GetUrl()); err != nil || u.Scheme != "http" || u.Host == "" {
			c.addError(at+"list.url", "%q is no http:// URL", l.GetUrl())
		}
	}
}

func (c *checker) checkFleet(f *pb.Fleet, at string) {
	c.checkAddress(at+"list_listen", f.GetListListen())
	if net.ParseIP(f.GetListenHost()) == nil {
		c.addError(at+"listen_host", "%q is no IP address", f.GetListenHost())
	}
	names := map[string]bool{}
	for i, s := range f.GetEngines() {
		field := fmt.Sprintf("%sengines[%d]", at, i)
		c.checkUnique(names, field+".name", s.GetName())
		if s.GetRole() == pb.Role_ROLE_UNSPECIFIED {
			c.addError(field+".role", "must be READER, WRITER or MIXED")
		}
		if n := len(s.GetPorts()); n > 0 && n != int(s.GetCount()) {
			c.addError(field+".ports", "%d ports for %d engines", n, s.GetCount())
		}
	}
}

func (c *checker) checkDay(d *pb.Day) {
	c.checkRouter(d.GetRouter(), "router.", false)
	c.checkFleet(d.GetFleet(), "fleet.")
	machines, workloads, routers := map[string]pb.Role{}, map[string]bool{}, map[string]bool{}
	zones, engines := map[string]bool{}, map[string]bool{}
	for _, m := range d.GetRouter().GetMachines() {
		machines[m.GetName()] = m.GetRole()
	}
	for _, w := range d.GetRouter().GetWorkloads() {
		workloads[w.GetName()] = true
	}
	for i, r := range d.GetRouters() {
		c.checkUnique(routers, fmt.Sprintf("routers[%d].name", i), r.GetName())
		zones[r.GetZone()] = true
	}
	for i, s := range d.GetFleet().GetEngines() {
		if role, told := machines[s.GetMachine()]; !told {
			c.addError(fmt.Sprintf("fleet.engines[%d].machine", i), "%q is none of router.machines", s.GetMachine())
		} else if role != s.GetRole() {
			c.addError(fmt.Sprintf("fleet.engines[%d].role", i), "is %v, but router.machines says %v", s.GetRole(), role)
		}
		zones[s.GetZone()] = true
		engines[s.GetName()] = true
		for n := range s.GetCount() {
			engines[s.GetName()+"-"+strconv.Itoa(int(n))] = true
		}
	}
	for i, l := range d.GetClients() {
		if !workloads[l.GetWorkload()] {
			c.addError(fmt.Sprintf("clients[%d].workload", i), "%q is none of router.workloads", l.GetWorkload())
		}
	}
	for i, t := range d.GetTroubles() {
		c.checkTrouble(t, fmt.Sprintf("troubles[%d]", i), engines, zones, workloads, routers)
	}
}

func (c *checker) checkTrouble(t *pb.Trouble, at string, engines, zones, workloads, routers map[string]bool) {
	for i, e := range t.GetEngines() {
		if !engines[e] {
			c.addError(fmt.Sprintf("%s.engines[%d]", at, i), "%q is no engine and no set of the fleet", e)
		}
	}
	wants := func(field, value string, among map[string]bool, of string) {
		if !among[value] {
			c.addError(at+"."+field, "%v wants one of the %s, not %q", t.GetKind(), of, value)
		}
	}
	switch t.GetKind() {
	case pb.Kind_KIND_UNSPECIFIED:
		c.addError(at+".kind", "must be one of the kinds of trouble")
	case pb.Kind_ZONE_CUT:
		wants("zone", t.GetZone(), zones, "zones")
	case pb.Kind_WORKLOAD_FAILS:
		wants("workload", t.GetWorkload(), workloads, "workloads")
	case pb.Kind_ROUTER_KILLED, pb.Kind_ROUTER_PAUSED:
		wants("router", t.GetRouter(), routers, "routers")
	}
	if sizeIsShare(t.GetKind()) && t.GetSize() > 1 {
		c.addError(at+".size", "%v is out of range: it is a share, from 0 to 1", t.GetSize())
	}
}

func sizeIsShare(k pb.Kind) bool {
	switch k {
	case pb.Kind_FAILS_FAST, pb.Kind_BREAKS_MIDSTREAM, pb.Kind_ANSWERS_LOST, pb.Kind_KEPT_FLUSHED, pb.Kind_HOT_BEGINNING:
		return true
	}
	return false
}

func (c *checker) checkUnique(seen map[string]bool, field, name string) {
	if seen[name] {
		c.addError(field, "%q is there twice", name)
	}
	seen[name] = true
}

func (c *checker) checkAddress(field, address string) {
	host, port, err := net.SplitHostPort(address)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 0 || n > 65535 || host != "" && host != "localhost" && net.ParseIP(host) == nil {
		c.addError(field, "%q is no address: wanted IP:port, port from 0 to 65535", address)
	}
}
