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
type Entry struct {
	Name         string
	Keys         [][sha256.Size]byte // SHA-256 of its API keys
	Ranges       []netip.Prefix      // of its addresses
	Certificates []string            // names in its client certificate: a DNS name, a URI, or the subject's common name
}

// Book finds known clients. It never changes: a reload makes a new one, whole.
type Book struct {
	clients []Client
	secret  [16]byte
	keys    map[uint64][]bookKey
	ranges  []bookRange // the longest prefix first
	names   map[string]int
}

type bookKey struct {
	sum    [sha256.Size]byte
	client int
}

type bookRange struct {
	prefix netip.Prefix
	client int
}

// NewBook makes a book. secret is chance of the process: with it nobody can tell from the time of a lookup how
// near a guessed key came.
func NewBook(entries []Entry, secret [16]byte) (*Book, error) {
	b := &Book{secret: secret, keys: map[uint64][]bookKey{}, names: map[string]int{}}
	named := map[string]bool{}
	for i, e := range entries {
		if e.Name == "" || named[e.Name] {
			return nil, fmt.Errorf("clients[%d]: name %q: wanted one that no other has", i, e.Name)
		}
		named[e.Name] = true
		if len(e.Keys)+len(e.Ranges)+len(e.Certificates) == 0 {
			return nil, fmt.Errorf("clients[%d] %s: wanted a key, an address range or a certificate's name", i, e.Name)
		}
		b.clients = append(b.clients, Client{Name: e.Name})
		for _, k := range e.Keys {
			at := b.slot(k)
			for _, other := range b.keys[at] {
				if other.sum == k {
					return nil, fmt.Errorf("clients[%d] %s: a key that %s has too", i, e.Name, entries[other.client].Name)
				}
			}
			b.keys[at] = append(b.keys[at], bookKey{k, i})
		}
		for _, r := range e.Ranges {
			b.ranges = append(b.ranges, bookRange{r.Masked(), i})
		}
		for _, n := range e.Certificates {
			if other, there := b.names[n]; there {
				return nil, fmt.Errorf("clients[%d] %s: the certificate's name %q is %s's too", i, e.Name, n, entries[other].Name)
			}
			b.names[n] = i
		}
	}
	slices.SortStableFunc(b.ranges, func(x, y bookRange) int { return y.prefix.Bits() - x.prefix.Bits() })
	for i := 1; i < len(b.ranges); i++ {
		for j := 0; j < i; j++ {
			if b.ranges[i].prefix == b.ranges[j].prefix {
				return nil, fmt.Errorf("the range %s is of two clients", b.ranges[i].prefix)
			}
		}
	}
	return b, nil
}

func (b *Book) slot(sum [sha256.Size]byte) uint64 {
	mixed := sha256.Sum256(append(append([]byte(nil), b.secret[:]...), sum[:]...))
	return binary.LittleEndian.Uint64(mixed[:])
}

// Clients lists them by number.
func (b *Book) Clients() []Client { return b.clients }

// ByKey finds the client of an API key, Unknown if it is nobody's. An empty key is nobody's.
func (b *Book) ByKey(key string) int {
	if key == "" {
		return Unknown
	}
	sum := sha256.Sum256([]byte(key))
	client := Unknown
	for _, k := range b.keys[b.slot(sum)] {
		if subtle.ConstantTimeCompare(k.sum[:], sum[:]) == 1 {
			client = k.client
		}
	}
	return client
}

// ByAddress finds the client whose range holds an address; the narrowest range counts.
func (b *Book) ByAddress(a netip.Addr) int {
	a = a.Unmap().WithZone("")
	for _, r := range b.ranges {
		if r.prefix.Contains(a) {
			return r.client
		}
	}
	return Unknown
}

// ByCertificate finds the client of one of a certificate's names. The certificate must have been verified.
func (b *Book) ByCertificate(names []string) int {
	for _, n := range names {
		if client, there := b.names[n]; there {
			return client
		}
	}
	return Unknown
}
