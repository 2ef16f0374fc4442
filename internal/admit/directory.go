package admit

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
)

// ClientConfig says how a known client is identified. At least one of the three lists must not be empty.
type ClientConfig struct {
	Name             string
	KeyHashes        [][sha256.Size]byte // SHA-256 of its API keys
	AddressRanges    []netip.Prefix      // ranges of its addresses
	CertificateNames []string            // names in its client certificate: DNS name, URI or subject common name
}

// ClientDirectory finds known clients. It is immutable: a reload makes a new one.
type ClientDirectory struct {
	clients           []Client
	secret            [16]byte
	byKeyHash         map[uint64][]keyEntry
	byRange           []rangeEntry // longest prefix first
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

// NewClientDirectory returns a directory of the given clients. secret is random: it keeps a client from learning from
// the time of a lookup how close a guessed key came.
func NewClientDirectory(configs []ClientConfig, secret [16]byte) (*ClientDirectory, error) {
	dir := &ClientDirectory{secret: secret, byKeyHash: map[uint64][]keyEntry{}, byCertificateName: map[string]int{}}
	seenNames := map[string]bool{}
	for i, config := range configs {
		if config.Name == "" || seenNames[config.Name] {
			return nil, fmt.Errorf("clients[%d]: name %q: must be unique and not empty", i, config.Name)
		}
		seenNames[config.Name] = true
		if len(config.KeyHashes)+len(config.AddressRanges)+len(config.CertificateNames) == 0 {
			return nil, fmt.Errorf("clients[%d] %s: has no key, address range or certificate name", i, config.Name)
		}
		dir.clients = append(dir.clients, Client{Name: config.Name})
		for _, keyHash := range config.KeyHashes {
			slot := dir.keySlot(keyHash)
			for _, other := range dir.byKeyHash[slot] {
				if other.sum == keyHash {
					return nil, fmt.Errorf("clients[%d] %s: has a key of %s", i, config.Name, configs[other.client].Name)
				}
			}
			dir.byKeyHash[slot] = append(dir.byKeyHash[slot], keyEntry{keyHash, i})
		}
		for _, addrRange := range config.AddressRanges {
			dir.byRange = append(dir.byRange, rangeEntry{addrRange.Masked(), i})
		}
		for _, certName := range config.CertificateNames {
			if other, found := dir.byCertificateName[certName]; found {
				return nil, fmt.Errorf("clients[%d] %s: certificate name %q belongs to %s", i, config.Name, certName, configs[other].Name)
			}
			dir.byCertificateName[certName] = i
		}
	}
	slices.SortStableFunc(dir.byRange, func(x, y rangeEntry) int { return y.prefix.Bits() - x.prefix.Bits() })
	for i := 1; i < len(dir.byRange); i++ {
		for j := 0; j < i; j++ {
			if dir.byRange[i].prefix == dir.byRange[j].prefix {
				return nil, fmt.Errorf("address range %s belongs to two clients", dir.byRange[i].prefix)
			}
		}
	}
	return dir, nil
}

func (dir *ClientDirectory) keySlot(sum [sha256.Size]byte) uint64 {
	hash := sha256.Sum256(append(append([]byte(nil), dir.secret[:]...), sum[:]...))
	return binary.LittleEndian.Uint64(hash[:])
}

// Clients returns the known clients by client index.
func (dir *ClientDirectory) Clients() []Client { return dir.clients }

// ByKey returns the client of an API key, UnknownClient if there is none. An empty key belongs to no client.
func (dir *ClientDirectory) ByKey(key string) int {
	if key == "" {
		return UnknownClient
	}
	sum := sha256.Sum256([]byte(key))
	client := UnknownClient
	for _, entry := range dir.byKeyHash[dir.keySlot(sum)] {
		if subtle.ConstantTimeCompare(entry.sum[:], sum[:]) == 1 {
			client = entry.client
		}
	}
	return client
}

// ByAddress returns the client of the narrowest range that contains an address, UnknownClient if there is none.
func (dir *ClientDirectory) ByAddress(a netip.Addr) int {
	a = a.Unmap().WithZone("")
	for _, entry := range dir.byRange {
		if entry.prefix.Contains(a) {
			return entry.client
		}
	}
	return UnknownClient
}

// ByCertificateNames returns the client of the first known name of a verified certificate, UnknownClient if there is
// none.
func (dir *ClientDirectory) ByCertificateNames(names []string) int {
	for _, name := range names {
		if client, found := dir.byCertificateName[name]; found {
			return client
		}
	}
	return UnknownClient
}
