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

// checkReferences checks what the schema can't express: references between fields, unique names, addresses.
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

func (c *checker) checkRouter(r *pb.Router, prefix string, needsList bool) {
	c.checkAddress(prefix+"listen", r.GetListen())
	if r.GetAdminListen() != "" {
		c.checkAddress(prefix+"admin_listen", r.GetAdminListen())
	}
	if s := r.GetSourceAddress(); s != "" && net.ParseIP(s) == nil {
		c.addError(prefix+"source_address", "%q is not an IP address", s)
	}
	machines, hasWriter := map[string]bool{}, false
	for i, m := range r.GetMachines() {
		c.checkUnique(machines, fmt.Sprintf("%smachines[%d].name", prefix, i), m.GetName())
		if m.GetRole() == pb.Role_ROLE_UNSPECIFIED {
			c.addError(fmt.Sprintf("%smachines[%d].role", prefix, i), "must be READER, WRITER or MIXED")
		}
		hasWriter = hasWriter || m.GetRole() != pb.Role_READER
	}
	if !hasWriter {
		c.addError(prefix+"machines", "no machine can write: at least one must be WRITER or MIXED")
	}
	names, models := map[string]bool{}, map[string]bool{}
	for i, w := range r.GetWorkloads() {
		c.checkUnique(names, fmt.Sprintf("%sworkloads[%d].name", prefix, i), w.GetName())
		for j, m := range w.GetModels() {
			c.checkUnique(models, fmt.Sprintf("%sworkloads[%d].models[%d]", prefix, i, j), m)
		}
		if len(w.GetModels()) == 0 {
			c.checkUnique(models, fmt.Sprintf("%sworkloads[%d].name", prefix, i), w.GetName())
		}
	}
	c.checkTenants(r, prefix)
	c.checkEngineList(r, prefix, needsList)
	for i, figure := range []*pb.Figure{r.GetReports().GetWaiting(), r.GetReports().GetSlotsUsed(),
		r.GetReports().GetMemoryHeld(), r.GetReports().GetThousandsWaiting()} {
		if figure != nil && figure.GetOrca() == "" && figure.GetPrometheus() == "" {
			name := [...]string{"waiting", "slots_used", "memory_held", "thousands_waiting"}[i]
			c.addError(prefix+"reports."+name, "sets neither orca nor prometheus")
		}
	}
	c.checkPeers(r, prefix)
	c.checkAdmission(r.GetAdmission(), prefix+"admission.")
	if r.GetAdmission() != nil && r.GetAdmissionFile() != "" {
		c.addError(prefix+"admission_file", "must not be set together with admission")
	}
	tenants := map[string]bool{}
	for _, t := range r.GetTenants() {
		tenants[t.GetName()] = true
	}
	for i, k := range r.GetAdmission().GetClients() {
		if k.GetTenant() != "" && !tenants[k.GetTenant()] {
			c.addError(fmt.Sprintf("%sadmission.clients[%d].tenant", prefix, i), "%q is not one of tenants", k.GetTenant())
		}
	}
	if margin := r.GetTiming().GetAnswerMarginMs(); margin < 4*r.GetTiming().GetTickMs() {
		c.addError(prefix+"timing.answer_margin_ms", "%v is less than four ticks (timing.tick_ms %v): answers could be late", margin, r.GetTiming().GetTickMs())
	}
}

// checkAdmission checks what does not depend on the descriptor limit of the process. The division of the descriptors is
// checked at start (AdmissionConfig).
func (c *checker) checkAdmission(a *pb.Admission, prefix string) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, k := range a.GetClients() {
		field := fmt.Sprintf("%sclients[%d]", prefix, i)
		c.checkUnique(names, field+".name", k.GetName())
		c.checkKeyHashes(keys, field, k.GetKeySha256())
		for j, addressRange := range k.GetRanges() {
			if _, err := netip.ParsePrefix(addressRange); err != nil {
				c.addError(fmt.Sprintf("%s.ranges[%d]", field, j), "%q is not an address range such as 10.1.0.0/16", addressRange)
			}
		}
		if len(k.GetKeySha256())+len(k.GetRanges())+len(k.GetCertificates()) == 0 {
			c.addError(field, "has no key, range or certificate: it matches no connection")
		}
	}
}

func (c *checker) checkPeers(r *pb.Router, prefix string) {
	p := r.GetPeers()
	if p == nil {
		return
	}
	c.checkAddress(prefix+"peers.listen", p.GetListen())
	for i, s := range p.GetSeeds() {
		c.checkAddress(fmt.Sprintf("%speers.seeds[%d]", prefix, i), s)
	}
	if key, err := hex.DecodeString(p.GetKeyHex()); err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
		c.addError(prefix+"peers.key_hex", "must be 16, 24 or 32 bytes as hex")
	}
	if p.GetLeaseS() <= p.GetSettleS() {
		c.addError(prefix+"peers.lease_s", "%v is not greater than settle_s (%v)", p.GetLeaseS(), p.GetSettleS())
	}
	if !r.GetAllowed().GetProbes() {
		c.addError(prefix+"peers", "must not be set where allowed.probes is false: there is no duty to share")
	}
}

// checkKeyHashes checks the SHA-256 sums of the API keys of one tenant or client. seen has the sums of all checked so far.
func (c *checker) checkKeyHashes(seen map[string]bool, path string, sums []string) {
	for i, sum := range sums {
		field := fmt.Sprintf("%s.key_sha256[%d]", path, i)
		if hash, err := hex.DecodeString(sum); err != nil || len(hash) != 32 {
			c.addError(field, "must be the 64 hex digits of a SHA-256")
		}
		c.checkUnique(seen, field, sum)
	}
}

func (c *checker) checkTenants(r *pb.Router, prefix string) {
	names, keys, hasAnonymous := map[string]bool{}, map[string]bool{}, false
	for i, t := range r.GetTenants() {
		c.checkUnique(names, fmt.Sprintf("%stenants[%d].name", prefix, i), t.GetName())
		c.checkKeyHashes(keys, fmt.Sprintf("%stenants[%d]", prefix, i), t.GetKeySha256())
		if t.GetAnonymous() && hasAnonymous {
			c.addError(fmt.Sprintf("%stenants[%d].anonymous", prefix, i), "another tenant is already anonymous")
		}
		hasAnonymous = hasAnonymous || t.GetAnonymous()
		if len(t.GetKeySha256()) == 0 && !t.GetAnonymous() {
			c.addError(fmt.Sprintf("%stenants[%d]", prefix, i), "has no key and is not anonymous: it matches no request")
		}
	}
}

func (c *checker) checkEngineList(r *pb.Router, prefix string, required bool) {
	l := r.GetList()
	switch {
	case !required:
		return
	case (l.GetUrl() == "") == (l.GetFile() == ""):
		c.addError(prefix+"list", "must have either url or file")
	case l.GetAsk() && l.GetUrl() == "":
		c.addError(prefix+"list.ask", "requires url: a file is always polled")
	case l.GetUrl() != "":
		if u, err := url.Parse(l.GetUrl()); err != nil || u.Scheme != "http" || u.Host == "" {
			c.addError(prefix+"list.url", "%q is not an http:// URL", l.GetUrl())
		}
	}
}

func (c *checker) checkFleet(f *pb.Fleet, prefix string) {
	c.checkAddress(prefix+"list_listen", f.GetListListen())
	if net.ParseIP(f.GetListenHost()) == nil {
		c.addError(prefix+"listen_host", "%q is not an IP address", f.GetListenHost())
	}
	names := map[string]bool{}
	for i, s := range f.GetEngines() {
		field := fmt.Sprintf("%sengines[%d]", prefix, i)
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
		if role, ok := machines[s.GetMachine()]; !ok {
			c.addError(fmt.Sprintf("fleet.engines[%d].machine", i), "%q is not one of router.machines", s.GetMachine())
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
			c.addError(fmt.Sprintf("clients[%d].workload", i), "%q is not one of router.workloads", l.GetWorkload())
		}
	}
	for i, t := range d.GetTroubles() {
		c.checkTrouble(t, fmt.Sprintf("troubles[%d]", i), engines, zones, workloads, routers)
	}
}

func (c *checker) checkTrouble(t *pb.Trouble, path string, engines, zones, workloads, routers map[string]bool) {
	for i, e := range t.GetEngines() {
		if !engines[e] {
			c.addError(fmt.Sprintf("%s.engines[%d]", path, i), "%q is neither an engine nor an engine set of the fleet", e)
		}
	}
	checkOneOf := func(field, value string, allowed map[string]bool, plural string) {
		if !allowed[value] {
			c.addError(path+"."+field, "%v requires one of the %s, not %q", t.GetKind(), plural, value)
		}
	}
	switch t.GetKind() {
	case pb.Kind_KIND_UNSPECIFIED:
		c.addError(path+".kind", "must be set")
	case pb.Kind_ZONE_CUT:
		checkOneOf("zone", t.GetZone(), zones, "zones")
	case pb.Kind_WORKLOAD_FAILS:
		checkOneOf("workload", t.GetWorkload(), workloads, "workloads")
	case pb.Kind_ROUTER_KILLED, pb.Kind_ROUTER_PAUSED:
		checkOneOf("router", t.GetRouter(), routers, "routers")
	}
	if sizeIsShare(t.GetKind()) && t.GetSize() > 1 {
		c.addError(path+".size", "%v is out of range: it is a share, from 0 to 1", t.GetSize())
	}
}

// sizeIsShare reports whether the size of this kind of trouble is a share from 0 to 1.
func sizeIsShare(k pb.Kind) bool {
	switch k {
	case pb.Kind_FAILS_FAST, pb.Kind_BREAKS_MIDSTREAM, pb.Kind_ANSWERS_LOST, pb.Kind_KEPT_FLUSHED, pb.Kind_HOT_BEGINNING:
		return true
	}
	return false
}

func (c *checker) checkUnique(seen map[string]bool, field, name string) {
	if seen[name] {
		c.addError(field, "%q is a duplicate", name)
	}
	seen[name] = true
}

func (c *checker) checkAddress(field, address string) {
	host, port, err := net.SplitHostPort(address)
	portNumber, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || portNumber < 0 || portNumber > 65535 || host != "" && host != "localhost" && net.ParseIP(host) == nil {
		c.addError(field, "%q is not an address: must be IP:port, with a port from 0 to 65535", address)
	}
}
