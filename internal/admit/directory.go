package admit

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
)

// Entry is how one client is known. It must have at least one of the three.
type ClientConfig struct {
	Name             string
	KeyHashes        [][sha256.Size]byte // SHA-256 of its API keys
	AddressRanges    []netip.Prefix      // of its addresses
	CertificateNames []string            // names in its client certificate: a DNS name, a URI, or the subject's common name
}

// Book finds known clients. It never changes: a reload makes a new one, whole.
type ClientDirectory struct {
	clients           []Client
	secret            [16]byte
	byKeyHash         map[uint64][]keyEntry
	byRange           []rangeEntry // the longest prefix first
	byCertificateName map[string]int
}

type keyEntry struct {
	sum    [sha256.Size]byte
	client int
}

type rangeEntry struct {
	prefix netip.Prefix
	client int
}

// NewBook makes a book. secret is chance of the process: with it nobody can tell from the time of a lookup how
// near a guessed key came.
func NewClientDirectory(entries []ClientConfig, secret [16]byte) (*ClientDirectory, error) {
	b := &ClientDirectory{secret: secret, byKeyHash: map[uint64][]keyEntry{}, byCertificateName: map[string]int{}}
	named := map[string]bool{}
	for i, e := range entries {
		if e.Name == "" || named[e.Name] {
			return nil, fmt.Errorf("clients[%d]: name %q: wanted one that no other has", i, e.Name)
		}
		named[e.Name] = true
		if len(e.KeyHashes)+len(e.AddressRanges)+len(e.CertificateNames) == 0 {
			return nil, fmt.Errorf("clients[%d] %s: wanted a key, an address range or a certificate's name", i, e.Name)
		}
		b.clients = append(b.clients, Client{Name: e.Name})
		for _, k := range e.KeyHashes {
			at := b.keySlot(k)
			for _, other := range b.byKeyHash[at] {
				if other.sum == k {
					return nil, fmt.Errorf("clients[%d] %s: a key that %s has too", i, e.Name, entries[other.client].Name)
				}
			}
			b.byKeyHash[at] = append(b.byKeyHash[at], keyEntry{k, i})
		}
		for _, r := range e.AddressRanges {
			b.byRange = append(b.byRange, rangeEntry{r.Masked(), i})
		}
		for _, n := range e.CertificateNames {
			if other, there := b.byCertificateName[n]; there {
				return nil, fmt.Errorf("clients[%d] %s: the certificate's name %q is %s's too", i, e.Name, n, entries[other].Name)
			}
			b.byCertificateName[n] = i
		}
	}
	slices.SortStableFunc(b.byRange, func(x, y rangeEntry) int { return y.prefix.Bits() - x.prefix.Bits() })
	for i := 1; i < len(b.byRange); i++ {
		for j := 0; j < i; j++ {
			if b.byRange[i].prefix == b.byRange[j].prefix {
				return nil, fmt.Errorf("the range %s is of two clients", b.byRange[i].prefix)
			}
		}
	}
	return b, nil
}

func (b *ClientDirectory) keySlot(sum [sha256.Size]byte) uint64 {
	mixed := sha256.Sum256(append(append([]byte(nil), b.secret[:]...), sum[:]...))
	return binary.LittleEndian.Uint64(mixed[:])
}

// Clients lists them by number.
func (b *ClientDirectory) Clients() []Client { return b.clients }

// ByKey finds the client of an API key, Unknown if it is nobody's. An empty key is nobody's.
func (b *ClientDirectory) ByKey(key string) int {
	if key == "" {
		return UnknownClient
	}
	sum := sha256.Sum256([]byte(key))
	client := UnknownClient
	for _, k := range b.byKeyHash[b.keySlot(sum)] {
		if subtle.ConstantTimeCompare(k.sum[:], sum[:]) == 1 {
			client = k.client
		}
	}
	return client
}

// ByAddress finds the client whose range holds an address; the narrowest range counts.
func (b *ClientDirectory) ByAddress(a netip.Addr) int {
	a = a.Unmap().WithZone("")
	for _, r := range b.byRange {
		if r.prefix.Contains(a) {
			return r.client
		}
	}
	return UnknownClient
}

// ByCertificate finds the client of one of a certificate's names. The certificate must have been verified.
func (b *ClientDirectory) ByCertificateNames(names []string) int {
	for _, n := range names {
		if client, there := b.byCertificateName[n]; there {
			return client
		}
	}
	return UnknownClient
}
