package admit

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A sketch holds a rate limiter for every address in a fixed amount of memory (a count-min sketch with conservative
// update). A limiter is one number, the theoretical arrival time of the generic cell rate algorithm (ITU-T I.371). An
// address has a cell in each row; its value is the minimum of these cells. An arrival raises only the cells below the
// new value.
//
// The minimum is never below the value of a limiter of the address's own: the update is monotone, and cells are only
// raised. So no address exceeds its rate. The error is on the other side: an address is limited wrongly if other
// addresses use all its cells at that moment. With n others the probability is
// (1 - (1-1/sketchColumns)^n)^sketchRows: 1 in 10,000 at 850 others, 1 in 100 at 3,100, 1 in 2 at 15,000. A known
// client is not delayed by it for long, as it can enter through the provisional pool.
type sketch struct {
	seed  uint64
	cells [sketchRows][sketchColumns]float64
}

const (
	sketchRows    = 4
	sketchColumns = 8192 // 256 KiB in total
)

func newSketch(seed uint64) *sketch { return &sketch{seed: seed} }

// cellsOf returns the cells of an address.
func (s *sketch) cellsOf(a netip.Addr) [sketchRows]*float64 {
	var key [24]byte
	b := a.As16()
	binary.LittleEndian.PutUint64(key[:], s.seed)
	copy(key[8:], b[:])
	sum := xxhash.Sum64(key[:])
	// Double hashing (Kirsch and Mitzenmacher) with the two halves of one hash.
	x, y := uint32(sum), uint32(sum>>32)|1
	var cells [sketchRows]*float64
	for i := range cells {
		cells[i] = &s.cells[i][(x+uint32(i)*y)>>(32-sketchColumnBits)]
	}
	return cells
}

const sketchColumnBits = 13 // log2(sketchColumns)

// arrive counts an arrival of an address and returns how many seconds it is too early, 0 if it conforms to the rate.
func (s *sketch) arrive(now float64, a netip.Addr, rate, burst, maxWait float64) float64 {
	cells := s.cellsOf(a)
	tat := math.Inf(1)
	for _, c := range cells {
		tat = math.Min(tat, *c)
	}
	next, wait := gcraArrive(now, tat, rate, burst, maxWait)
	for _, c := range cells {
		*c = math.Max(*c, next)
	}
	return wait
}

// waitTime returns how many seconds an address has to wait until an arrival conforms to the rate.
func (s *sketch) waitTime(now float64, a netip.Addr, rate, burst float64) float64 {
	tat := math.Inf(1)
	for _, c := range s.cellsOf(a) {
		tat = math.Min(tat, *c)
	}
	return math.Max(0, tat-now-(burst-1)/rate)
}

// gcraArrive is the generic cell rate algorithm. It returns the next theoretical arrival time and how many seconds this
// arrival is too early. An early arrival counts too: each lengthens the wait by 1/rate, up to maxWait. Without
// arrivals the wait shrinks by a second per second.
func gcraArrive(now, tat, rate, burst, maxWait float64) (next, wait float64) {
	wait = math.Max(0, math.Max(now, tat)-now-(burst-1)/rate)
	next = math.Min(math.Max(now, tat)+1/rate, now+burst/rate+maxWait)
	return math.Max(next, math.Min(tat, next)), wait
}
