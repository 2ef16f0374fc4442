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
	connectionsDivisor    = 2
	maxDefaultConnections = 10000
	reservedDivisor       = 5
	provisionalDivisor    = 8
	maxDefaultProvisional = 256
	closingDivisor        = 16
	maxDefaultClosing     = 512
)

// lingerFor is how long a refused connection is read on.
const lingerTimeout = 200 * time.Millisecond

// Rules are what a door goes by, and how the process's descriptors are divided with it. a is the router's own
// admission or that of its file.
func AdmissionConfig(r *pb.Router, a *pb.Admission, limit int) (door.AdmissionConfig, admit.DescriptorBudget, error) {
	peers := 0
	if r.GetPeers() != nil {
		peers = int(r.GetDescriptors().GetPeers())
	}
	admin := int(r.GetDescriptors().GetAdmin())
	entries, tenants := knownClients(r, a)
	or := func(set int32, otherwise int) int {
		if set > 0 {
			return int(set)
		}
		return max(1, otherwise)
	}
	s := admit.Settings{MaxPerAddress: int(a.GetPerAddress()), MaxPerClient: int(a.GetPerClient()), IPv6PrefixBits: int(a.GetIpv6Prefix()),
		AddressRate: a.GetAddressNewPerS(), AddressBurst: a.GetAddressBurst(), ClientRate: a.GetClientNewPerS(), ClientBurst: a.GetClientBurst(),
		ProvisionalFloodRate: a.GetFloodNewPerS(), MaxRetryAfter: a.GetMaxWaitS(), ProvisionalTimeout: a.GetAnteroomS(), HeaderTimeout: a.GetHeaderS(),
		IdleTimeout: r.GetTiming().GetIdleS(), MaxRequestsPerConnection: int(a.GetCallsPerConnection()), MaxCompletionsPerClient: int(a.GetClientCompletions()),
		MaxCompletionsPerAddress: int(a.GetAddressCompletions()), MaxRememberedRateLimits: int(a.GetRememberedReturns()), MaxCompletions: int(r.GetLimits().GetMaxCompletions())}
	s.MaxClosing = or(a.GetLeaving(), min(limit/closingDivisor, maxDefaultClosing))
	left := limit - admit.ProcessDescriptors - admin - peers - s.MaxClosing
	s.MaxConnections = or(a.GetMaxConnections(), min(left/connectionsDivisor, maxDefaultConnections))
	if len(entries) > 0 {
		s.ReservedConnections = or(a.GetReserveConnections(), s.MaxConnections/reservedDivisor)
		s.MaxProvisional = or(a.GetAnteroom(), min(s.MaxConnections/provisionalDivisor, maxDefaultProvisional))
	}
	d, err := admit.DivideDescriptors(limit, admin, peers, s)
	if err != nil {
		return door.AdmissionConfig{}, d, err
	}
	s.MaxCompletions = d.MaxCompletions
	if len(entries) > 0 {
		s.ReservedCompletions = min(or(a.GetReserveCompletions(), s.MaxCompletions/reservedDivisor), s.MaxCompletions-1)
	}
	var seed [8]byte
	rand.Read(seed[:]) //nolint:errcheck // never fails
	for i, b := range seed {
		s.HashSeed |= uint64(b) << (8 * i)
	}
	return door.AdmissionConfig{Settings: s, Clients: entries, ClientTenants: tenants}, d, nil
}

// clients are the known ones: tenants by their keys, and those of the admission.
func knownClients(r *pb.Router, a *pb.Admission) ([]admit.ClientConfig, []int) {
	var entries []admit.ClientConfig
	var tenants []int
	byName := map[string]int{}
	for i, t := range r.GetTenants() {
		byName[t.GetName()] = i
		if len(t.GetKeySha256()) > 0 {
			entries = append(entries, admit.ClientConfig{Name: t.GetName(), KeyHashes: decodeKeyHashes(t.GetKeySha256())})
			tenants = append(tenants, i)
		}
	}
	for _, k := range a.GetClients() {
		e := admit.ClientConfig{Name: k.GetName(), KeyHashes: decodeKeyHashes(k.GetKeySha256()), CertificateNames: slices.Clone(k.GetCertificates())}
		for _, text := range k.GetRanges() {
			if p, err := netip.ParsePrefix(text); err == nil { // checked with the settings
				e.AddressRanges = append(e.AddressRanges, p)
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

func decodeKeyHashes(hexes []string) [][32]byte {
	var all [][32]byte
	for _, k := range hexes {
		var sum [32]byte
		hex.Decode(sum[:], []byte(k)) //nolint:errcheck // checked with the settings
		all = append(all, sum)
	}
	return all
}

// Door are a door's options; listener, rules and log are the caller's to add.
func ListenerOptions(r *pb.Router, a *pb.Admission) door.Options {
	l := r.GetLimits()
	o := door.Options{MaxUnreadBytes: int(l.GetMaxBodyBytes()+l.GetMaxHeaderBytes()) + extraUnreadBytes, LingerTimeout: lingerTimeout}
	rand.Read(o.KeyHashSecret[:]) //nolint:errcheck // never fails
	if t := r.GetTls(); t != nil {
		o.TLS = &door.TLSOptions{CertificateFile: t.GetCertificateFile(), KeyFile: t.GetKeyFile(), ClientCAFile: t.GetClientCaFile(), MinVersion: tls.VersionTLS12,
			PollInterval: Seconds(t.GetPollS()), HandshakeTimeout: Seconds(a.GetHeaderS())}
		if t.GetMinVersion() == pb.TlsVersion_TLS13 {
			o.TLS.MinVersion = tls.VersionTLS13
		}
	}
	return o
}

// unreadMore is what a client may send ahead besides a whole call, in bytes: the next call's beginning.
const extraUnreadBytes = 64 << 10
