package admit

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A sketch holds one rate limiter for every address there is, in memory of a fixed size. Each limiter is one
// number, the generic cell rate algorithm's theoretical arrival time (ITU-T I.371); an address has a cell in
// each row and counts as the least of them, and an arrival raises only the cells that are below its new value.
//
// An address's least cell is never below what a limiter of its own would have: the update is monotone, and
// cells are only raised. So no address passes its rate. The error is on the other side: one is held back
// without fault when all its cells are used by others at that moment, of n others with a likelihood of
// (1 - (1-1/sketchWide)^n)^sketchRows: one in 10,000 at 850 others, one in 100 at 3,100, a half at 15,000. Who is
// known is not held back by it for long: the anteroom stands open.
type sketch struct {
	seed  uint64
	cells [sketchRows][sketchColumns]float64
}

const (
	sketchRows    = 4
	sketchColumns = 8192 // 256 KiB in all
)

func newSketch(seed uint64) *sketch { return &sketch{seed: seed} }

// find is an address's cells.
func (s *sketch) cellsOf(a netip.Addr) [sketchRows]*float64 {
	var key [24]byte
	b := a.As16()
	binary.LittleEndian.PutUint64(key[:], s.seed)
	copy(key[8:], b[:])
	sum := xxhash.Sum64(key[:])
	// Rows by double hashing (Kirsch and Mitzenmacher): two halves of one sum.
	x, y := uint32(sum), uint32(sum>>32)|1
	var at [sketchRows]*float64
	for i := range at {
		at[i] = &s.cells[i][(x+uint32(i)*y)>>(32-sketchColumnBits)]
	}
	return at
}

const sketchColumnBits = 13 // of sketchWide

// arrive counts an arrival of an address and tells how long it is too early, 0 if it may be.
func (s *sketch) arrive(now float64, a netip.Addr, rate, burst, most float64) float64 {
	cells := s.cellsOf(a)
	tat := math.Inf(1)
	for _, c := range cells {
		tat = math.Min(tat, *c)
	}
	next, wait := gcraArrive(now, tat, rate, burst, most)
	for _, c := range cells {
		*c = math.Max(*c, next)
	}
	return wait
}

// wait is how long an address would have to wait now.
func (s *sketch) waitTime(now float64, a netip.Addr, rate, burst float64) float64 {
	tat := math.Inf(1)
	for _, c := range s.cellsOf(a) {
		tat = math.Min(tat, *c)
	}
	return math.Max(0, tat-now-(burst-1)/rate)
}

// arrive is one limiter: the next theoretical arrival time, and how long this arrival is too early. An early
// one is counted too, so that who goes on coming waits longer, by 1/rate for each, up to most; who stays away
// is forgiven a second each second.
func gcraArrive(now, tat, rate, burst, most float64) (next, wait float64) {
	wait = math.Max(0, math.Max(now, tat)-now-(burst-1)/rate)
	next = math.Min(math.Max(now, tat)+1/rate, now+burst/rate+most)
	return math.Max(next, math.Min(tat, next)), wait
}
