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
func (c *checker) refer(m proto.Message) {
	switch m := m.(type) {
	case *pb.Router:
		c.router(m, "", true)
	case *pb.Fleet:
		c.fleet(m, "")
	case *pb.Day:
		c.day(m)
	case *pb.Experiment:
		c.experiment(m)
	case *pb.Admission:
		c.admission(m, "")
	}
}

func (c *checker) router(r *pb.Router, at string, list bool) {
	c.address(at+"listen", r.GetListen())
	if r.GetAdminListen() != "" {
		c.address(at+"admin_listen", r.GetAdminListen())
	}
	if s := r.GetSourceAddress(); s != "" && net.ParseIP(s) == nil {
		c.add(at+"source_address", "%q is no IP address", s)
	}
	machines, writes := map[string]bool{}, false
	for i, m := range r.GetMachines() {
		c.differ(machines, fmt.Sprintf("%smachines[%d].name", at, i), m.GetName())
		if m.GetRole() == pb.Role_ROLE_UNSPECIFIED {
			c.add(fmt.Sprintf("%smachines[%d].role", at, i), "must be READER, WRITER or MIXED")
		}
		writes = writes || m.GetRole() != pb.Role_READER
	}
	if !writes {
		c.add(at+"machines", "none can write: a WRITER or a MIXED one is wanted")
	}
	names, models := map[string]bool{}, map[string]bool{}
	for i, w := range r.GetWorkloads() {
		c.differ(names, fmt.Sprintf("%sworkloads[%d].name", at, i), w.GetName())
		for j, m := range w.GetModels() {
			c.differ(models, fmt.Sprintf("%sworkloads[%d].models[%d]", at, i, j), m)
		}
		if len(w.GetModels()) == 0 {
			c.differ(models, fmt.Sprintf("%sworkloads[%d].name", at, i), w.GetName())
		}
	}
	c.tenants(r, at)
	c.list(r, at, list)
	for i, one := range []*pb.Figure{r.GetReports().GetWaiting(), r.GetReports().GetSlotsUsed(),
		r.GetReports().GetMemoryHeld(), r.GetReports().GetThousandsWaiting()} {
		if one != nil && one.GetOrca() == "" && one.GetPrometheus() == "" {
			name := [...]string{"waiting", "slots_used", "memory_held", "thousands_waiting"}[i]
			c.add(at+"reports."+name, "names neither orca nor prometheus")
		}
	}
	c.peers(r, at)
	c.admission(r.GetAdmission(), at+"admission.")
	if r.GetAdmission() != nil && r.GetAdmissionFile() != "" {
		c.add(at+"admission_file", "is there besides admission: wanted one of them")
	}
	tenants := map[string]bool{}
	for _, t := range r.GetTenants() {
		tenants[t.GetName()] = true
	}
	for i, k := range r.GetAdmission().GetClients() {
		if k.GetTenant() != "" && !tenants[k.GetTenant()] {
			c.add(fmt.Sprintf("%sadmission.clients[%d].tenant", at, i), "%q is none of tenants", k.GetTenant())
		}
	}
	if margin := r.GetTiming().GetAnswerMarginMs(); margin < 4*r.GetTiming().GetTickMs() {
		c.add(at+"timing.answer_margin_ms", "%v is under four ticks (timing.tick_ms %v): answers could come late", margin, r.GetTiming().GetTickMs())
	}
}

// admission checks what it can without knowing the descriptors that there are: that is done at the start.
func (c *checker) admission(a *pb.Admission, at string) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, k := range a.GetClients() {
		field := fmt.Sprintf("%sclients[%d]", at, i)
		c.differ(names, field+".name", k.GetName())
		c.keys(keys, field, k.GetKeySha256())
		for j, text := range k.GetRanges() {
			if _, err := netip.ParsePrefix(text); err != nil {
				c.add(fmt.Sprintf("%s.ranges[%d]", field, j), "%q is no range such as 10.1.0.0/16", text)
			}
		}
		if len(k.GetKeySha256())+len(k.GetRanges())+len(k.GetCertificates()) == 0 {
			c.add(field, "has no key, range or certificate: nobody is this client")
		}
	}
}

func (c *checker) peers(r *pb.Router, at string) {
	p := r.GetPeers()
	if p == nil {
		return
	}
	c.address(at+"peers.listen", p.GetListen())
	for i, s := range p.GetSeeds() {
		c.address(fmt.Sprintf("%speers.seeds[%d]", at, i), s)
	}
	if b, err := hex.DecodeString(p.GetKeyHex()); err != nil || len(b) != 16 && len(b) != 24 && len(b) != 32 {
		c.add(at+"peers.key_hex", "must be 16, 24 or 32 bytes as hex")
	}
	if p.GetLeaseS() <= p.GetSettleS() {
		c.add(at+"peers.lease_s", "%v is not above settle_s, %v", p.GetLeaseS(), p.GetSettleS())
	}
	if !r.GetAllowed().GetProbes() {
		c.add(at+"peers", "has no duty where allowed.probes is false")
	}
}

// keys checks the sums of one holder's API keys; seen are all so far.
func (c *checker) keys(seen map[string]bool, holder string, sums []string) {
	for i, sum := range sums {
		field := fmt.Sprintf("%s.key_sha256[%d]", holder, i)
		if b, err := hex.DecodeString(sum); err != nil || len(b) != 32 {
			c.add(field, "must be the 64 hex digits of a SHA-256")
		}
		c.differ(seen, field, sum)
	}
}

func (c *checker) tenants(r *pb.Router, at string) {
	names, keys, anonymous := map[string]bool{}, map[string]bool{}, false
	for i, t := range r.GetTenants() {
		c.differ(names, fmt.Sprintf("%stenants[%d].name", at, i), t.GetName())
		c.keys(keys, fmt.Sprintf("%stenants[%d]", at, i), t.GetKeySha256())
		if t.GetAnonymous() && anonymous {
			c.add(fmt.Sprintf("%stenants[%d].anonymous", at, i), "another tenant is the anonymous one")
		}
		anonymous = anonymous || t.GetAnonymous()
		if len(t.GetKeySha256()) == 0 && !t.GetAnonymous() {
			c.add(fmt.Sprintf("%stenants[%d]", at, i), "has no key and is not anonymous: nobody is this tenant")
		}
	}
}

func (c *checker) list(r *pb.Router, at string, wanted bool) {
	l := r.GetList()
	switch {
	case !wanted:
		return
	case (l.GetUrl() == "") == (l.GetFile() == ""):
		c.add(at+"list", "wants either url or file")
	case l.GetAsk() && l.GetUrl() == "":
		c.add(at+"list.ask", "wants a url: a file is read again by itself")
	case l.GetUrl() != "":
		if u, err := url.Parse(l.GetUrl()); err != nil || u.Scheme != "http" || u.Host == "" {
			c.add(at+"list.url", "%q is no http:// URL", l.GetUrl())
		}
	}
}

func (c *checker) fleet(f *pb.Fleet, at string) {
	c.address(at+"list_listen", f.GetListListen())
	if net.ParseIP(f.GetListenHost()) == nil {
		c.add(at+"listen_host", "%q is no IP address", f.GetListenHost())
	}
	names := map[string]bool{}
	for i, s := range f.GetEngines() {
		field := fmt.Sprintf("%sengines[%d]", at, i)
		c.differ(names, field+".name", s.GetName())
		if s.GetRole() == pb.Role_ROLE_UNSPECIFIED {
			c.add(field+".role", "must be READER, WRITER or MIXED")
		}
		if n := len(s.GetPorts()); n > 0 && n != int(s.GetCount()) {
			c.add(field+".ports", "%d ports for %d engines", n, s.GetCount())
		}
	}
}

func (c *checker) day(d *pb.Day) {
	c.router(d.GetRouter(), "router.", false)
	c.fleet(d.GetFleet(), "fleet.")
	machines, workloads, routers := map[string]pb.Role{}, map[string]bool{}, map[string]bool{}
	zones, engines := map[string]bool{}, map[string]bool{}
	for _, m := range d.GetRouter().GetMachines() {
		machines[m.GetName()] = m.GetRole()
	}
	for _, w := range d.GetRouter().GetWorkloads() {
		workloads[w.GetName()] = true
	}
	for i, r := range d.GetRouters() {
		c.differ(routers, fmt.Sprintf("routers[%d].name", i), r.GetName())
		zones[r.GetZone()] = true
	}
	for i, s := range d.GetFleet().GetEngines() {
		if role, told := machines[s.GetMachine()]; !told {
			c.add(fmt.Sprintf("fleet.engines[%d].machine", i), "%q is none of router.machines", s.GetMachine())
		} else if role != s.GetRole() {
			c.add(fmt.Sprintf("fleet.engines[%d].role", i), "is %v, but router.machines says %v", s.GetRole(), role)
		}
		zones[s.GetZone()] = true
		engines[s.GetName()] = true
		for n := range s.GetCount() {
			engines[s.GetName()+"-"+strconv.Itoa(int(n))] = true
		}
	}
	for i, l := range d.GetClients() {
		if !workloads[l.GetWorkload()] {
			c.add(fmt.Sprintf("clients[%d].workload", i), "%q is none of router.workloads", l.GetWorkload())
		}
	}
	for i, t := range d.GetTroubles() {
		c.trouble(t, fmt.Sprintf("troubles[%d]", i), engines, zones, workloads, routers)
	}
}

func (c *checker) trouble(t *pb.Trouble, at string, engines, zones, workloads, routers map[string]bool) {
	for i, e := range t.GetEngines() {
		if !engines[e] {
			c.add(fmt.Sprintf("%s.engines[%d]", at, i), "%q is no engine and no set of the fleet", e)
		}
	}
	wants := func(field, value string, among map[string]bool, of string) {
		if !among[value] {
			c.add(at+"."+field, "%v wants one of the %s, not %q", t.GetKind(), of, value)
		}
	}
	switch t.GetKind() {
	case pb.Kind_KIND_UNSPECIFIED:
		c.add(at+".kind", "must be one of the kinds of trouble")
	case pb.Kind_ZONE_CUT:
		wants("zone", t.GetZone(), zones, "zones")
	case pb.Kind_WORKLOAD_FAILS:
		wants("workload", t.GetWorkload(), workloads, "workloads")
	case pb.Kind_ROUTER_KILLED, pb.Kind_ROUTER_PAUSED:
		wants("router", t.GetRouter(), routers, "routers")
	}
	if share(t.GetKind()) && t.GetSize() > 1 {
		c.add(at+".size", "%v is out of range: it is a share, from 0 to 1", t.GetSize())
	}
}

func share(k pb.Kind) bool {
	switch k {
	case pb.Kind_FAILS_FAST, pb.Kind_BREAKS_MIDSTREAM, pb.Kind_ANSWERS_LOST, pb.Kind_KEPT_FLUSHED, pb.Kind_HOT_BEGINNING:
		return true
	}
	return false
}

func (c *checker) differ(seen map[string]bool, field, name string) {
	if seen[name] {
		c.add(field, "%q is there twice", name)
	}
	seen[name] = true
}

func (c *checker) address(field, address string) {
	host, port, err := net.SplitHostPort(address)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 0 || n > 65535 || host != "" && host != "localhost" && net.ParseIP(host) == nil {
		c.add(field, "%q is no address: wanted IP:port, port from 0 to 65535", address)
	}
}
