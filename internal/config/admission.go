package config

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/netip"
	"slices"
	"time"

	"cherryhub/internal/admit"
	"cherryhub/internal/door"
	pb "cherryhub/proto"
)

// Where the settings say nothing, clients get this part of what descriptors are left, and no more than most: the
// other half is for engines, two a completion.
const (
	connectionsPart = 2
	connectionsMost = 10000
	reservePart     = 5
	anteroomPart    = 8
	anteroomMost    = 256
	leavingPart     = 16
	leavingMost     = 512
)

// lingerFor is how long a refused connection is read on.
const lingerFor = 200 * time.Millisecond

// Rules are what a door goes by, and how the process's descriptors are divided with it. a is the router's own
// admission or that of its file.
func Rules(r *pb.Router, a *pb.Admission, limit int) (door.Rules, admit.Descriptors, error) {
	peers := 0
	if r.GetPeers() != nil {
		peers = int(r.GetDescriptors().GetPeers())
	}
	admin := int(r.GetDescriptors().GetAdmin())
	entries, tenants := clients(r, a)
	or := func(set int32, otherwise int) int {
		if set > 0 {
			return int(set)
		}
		return max(1, otherwise)
	}
	s := admit.Settings{PerAddress: int(a.GetPerAddress()), PerClient: int(a.GetPerClient()), Prefix6: int(a.GetIpv6Prefix()),
		Rate: a.GetAddressNewPerS(), Burst: a.GetAddressBurst(), ClientRate: a.GetClientNewPerS(), ClientBurst: a.GetClientBurst(),
		FloodRate: a.GetFloodNewPerS(), MaxWait: a.GetMaxWaitS(), AnteroomTime: a.GetAnteroomS(), HeaderTime: a.GetHeaderS(),
		IdleTime: r.GetTiming().GetIdleS(), Calls: int(a.GetCallsPerConnection()), ClientCompletions: int(a.GetClientCompletions()),
		AddressCompletions: int(a.GetAddressCompletions()), Returns: int(a.GetRememberedReturns()), Completions: int(r.GetLimits().GetMaxCompletions())}
	s.Leaving = or(a.GetLeaving(), min(limit/leavingPart, leavingMost))
	left := limit - admit.OwnDescriptors - admin - peers - s.Leaving
	s.Connections = or(a.GetMaxConnections(), min(left/connectionsPart, connectionsMost))
	if len(entries) > 0 {
		s.Reserve = or(a.GetReserveConnections(), s.Connections/reservePart)
		s.Anteroom = or(a.GetAnteroom(), min(s.Connections/anteroomPart, anteroomMost))
	}
	d, err := admit.Divide(limit, admin, peers, s)
	if err != nil {
		return door.Rules{}, d, err
	}
	s.Completions = d.Completions
	if len(entries) > 0 {
		s.ReserveCompletions = min(or(a.GetReserveCompletions(), s.Completions/reservePart), s.Completions-1)
	}
	var seed [8]byte
	rand.Read(seed[:]) //nolint:errcheck // never fails
	for i, b := range seed {
		s.Seed |= uint64(b) << (8 * i)
	}
	return door.Rules{Settings: s, Clients: entries, Tenants: tenants}, d, nil
}

// clients are the known ones: tenants by their keys, and those of the admission.
func clients(r *pb.Router, a *pb.Admission) ([]admit.Entry, []int) {
	var entries []admit.Entry
	var tenants []int
	byName := map[string]int{}
	for i, t := range r.GetTenants() {
		byName[t.GetName()] = i
		if len(t.GetKeySha256()) > 0 {
			entries = append(entries, admit.Entry{Name: t.GetName(), Keys: sums(t.GetKeySha256())})
			tenants = append(tenants, i)
		}
	}
	for _, k := range a.GetClients() {
		e := admit.Entry{Name: k.GetName(), Keys: sums(k.GetKeySha256()), Certificates: slices.Clone(k.GetCertificates())}
		for _, text := range k.GetRanges() {
			if p, err := netip.ParsePrefix(text); err == nil { // checked with the settings
				e.Ranges = append(e.Ranges, p)
			}
		}
		entries = append(entries, e)
		tenant, named := byName[k.GetTenant()]
		switch {
		case named:
		case len(r.GetTenants()) == 0:
			tenant = 0
		default:
			tenant = -1
		}
		tenants = append(tenants, tenant)
	}
	return entries, tenants
}

func sums(hexes []string) [][32]byte {
	var all [][32]byte
	for _, k := range hexes {
		var sum [32]byte
		hex.Decode(sum[:], []byte(k)) //nolint:errcheck // checked with the settings
		all = append(all, sum)
	}
	return all
}

// Door are a door's options; listener, rules and log are the caller's to add.
func Door(r *pb.Router, a *pb.Admission) door.Options {
	l := r.GetLimits()
	o := door.Options{Unread: int(l.GetMaxBodyBytes()+l.GetMaxHeaderBytes()) + unreadMore, Linger: lingerFor}
	rand.Read(o.Secret[:]) //nolint:errcheck // never fails
	if t := r.GetTls(); t != nil {
		o.TLS = &door.TLS{Certificate: t.GetCertificateFile(), Key: t.GetKeyFile(), ClientCA: t.GetClientCaFile(), MinVersion: tls.VersionTLS12,
			Poll: Seconds(t.GetPollS()), Handshake: Seconds(a.GetHeaderS())}
		if t.GetMinVersion() == pb.TlsVersion_TLS13 {
			o.TLS.MinVersion = tls.VersionTLS13
		}
	}
	return o
}

// unreadMore is what a client may send ahead besides a whole call, in bytes: the next call's beginning.
const unreadMore = 64 << 10
