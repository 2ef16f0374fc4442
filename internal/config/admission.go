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

// Defaults for settings that are not given. Client connections get the remaining descriptors divided by
// connectionsDivisor; the other half is for connections to engines, two per completion. The reserve for known clients and
// the pools of provisional and closing connections are sized in a similar way.
const (
	connectionsDivisor    = 2
	maxDefaultConnections = 10000
	reservedDivisor       = 5
	provisionalDivisor    = 8
	maxDefaultProvisional = 256
	closingDivisor        = 16
	maxDefaultClosing     = 512
)

// lingerTimeout is how long a refused connection is still read before it is closed.
const lingerTimeout = 200 * time.Millisecond

// AdmissionConfig returns the listener's admission configuration and the matching division of the process's file
// descriptors. a is the admission section of the router's settings or the content of its admission file;
// descriptorLimit is the number of descriptors that the process may open.
func AdmissionConfig(r *pb.Router, a *pb.Admission, descriptorLimit int) (door.AdmissionConfig, admit.DescriptorBudget, error) {
	peers := 0
	if r.GetPeers() != nil {
		peers = int(r.GetDescriptors().GetPeers())
	}
	admin := int(r.GetDescriptors().GetAdmin())
	clients, tenants := knownClients(r, a)
	orDefault := func(set int32, defaultValue int) int {
		if set > 0 {
			return int(set)
		}
		return max(1, defaultValue)
	}
	s := admit.Settings{MaxPerAddress: int(a.GetPerAddress()), MaxPerClient: int(a.GetPerClient()), IPv6PrefixBits: int(a.GetIpv6Prefix()),
		AddressRate: a.GetAddressNewPerS(), AddressBurst: a.GetAddressBurst(), ClientRate: a.GetClientNewPerS(), ClientBurst: a.GetClientBurst(),
		ProvisionalFloodRate: a.GetFloodNewPerS(), MaxRetryAfter: a.GetMaxWaitS(), ProvisionalTimeout: a.GetAnteroomS(), HeaderTimeout: a.GetHeaderS(),
		IdleTimeout: r.GetTiming().GetIdleS(), MaxRequestsPerConnection: int(a.GetCallsPerConnection()), MaxCompletionsPerClient: int(a.GetClientCompletions()),
		MaxCompletionsPerAddress: int(a.GetAddressCompletions()), MaxRememberedRateLimits: int(a.GetRememberedReturns()), MaxCompletions: int(r.GetLimits().GetMaxCompletions())}
	s.MaxClosing = orDefault(a.GetLeaving(), min(descriptorLimit/closingDivisor, maxDefaultClosing))
	remaining := descriptorLimit - admit.ProcessDescriptors - admin - peers - s.MaxClosing
	s.MaxConnections = orDefault(a.GetMaxConnections(), min(remaining/connectionsDivisor, maxDefaultConnections))
	if len(clients) > 0 {
		s.ReservedConnections = orDefault(a.GetReserveConnections(), s.MaxConnections/reservedDivisor)
		s.MaxProvisional = orDefault(a.GetAnteroom(), min(s.MaxConnections/provisionalDivisor, maxDefaultProvisional))
	}
	budget, err := admit.DivideDescriptors(descriptorLimit, admin, peers, s)
	if err != nil {
		return door.AdmissionConfig{}, budget, err
	}
	s.MaxCompletions = budget.MaxCompletions
	if len(clients) > 0 {
		s.ReservedCompletions = min(orDefault(a.GetReserveCompletions(), s.MaxCompletions/reservedDivisor), s.MaxCompletions-1)
	}
	var seed [8]byte
	rand.Read(seed[:]) //nolint:errcheck // never fails
	for i, b := range seed {
		s.HashSeed |= uint64(b) << (8 * i)
	}
	return door.AdmissionConfig{Settings: s, Clients: clients, ClientTenants: tenants}, budget, nil
}

// knownClients returns the tenants that have API keys and the clients of the admission settings, with the tenant index
// of each: 0 if there are no tenants, -1 for a client that belongs to none of them.
func knownClients(r *pb.Router, a *pb.Admission) ([]admit.ClientConfig, []int) {
	var clients []admit.ClientConfig
	var tenants []int
	byName := map[string]int{}
	for i, t := range r.GetTenants() {
		byName[t.GetName()] = i
		if len(t.GetKeySha256()) > 0 {
			clients = append(clients, admit.ClientConfig{Name: t.GetName(), KeyHashes: decodeKeyHashes(t.GetKeySha256())})
			tenants = append(tenants, i)
		}
	}
	for _, k := range a.GetClients() {
		client := admit.ClientConfig{Name: k.GetName(), KeyHashes: decodeKeyHashes(k.GetKeySha256()), CertificateNames: slices.Clone(k.GetCertificates())}
		for _, prefixText := range k.GetRanges() {
			if prefix, err := netip.ParsePrefix(prefixText); err == nil { // validated by checkAdmission
				client.AddressRanges = append(client.AddressRanges, prefix)
			}
		}
		clients = append(clients, client)
		tenant, found := byName[k.GetTenant()]
		switch {
		case found:
		case len(r.GetTenants()) == 0:
			tenant = 0
		default:
			tenant = -1
		}
		tenants = append(tenants, tenant)
	}
	return clients, tenants
}

func decodeKeyHashes(hexHashes []string) [][32]byte {
	var hashes [][32]byte
	for _, k := range hexHashes {
		var sum [32]byte
		hex.Decode(sum[:], []byte(k)) //nolint:errcheck // validated by checkKeyHashes
		hashes = append(hashes, sum)
	}
	return hashes
}

// ListenerOptions returns the options of the client listener. The caller adds the listener, the admission configuration
// and the log.
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

// extraUnreadBytes is how much a client may send ahead beyond one complete request: the start of the next request.
const extraUnreadBytes = 64 << 10
