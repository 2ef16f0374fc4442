// Package wire implements the binary protocol of the simulator's adapter: it translates batches of records into
// calls of decide's routers, and the actions of the routers into a reply. All integers are little-endian, times
// are in nanoseconds. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"cherryhub/decide"
)

const (
	batchHeaderBytes = 16
	maxBatchBytes    = 1 << 30
	routerTimerToken = math.MaxUint64 // timer token of a router, instead of a completion's id
	startedLongAgo   = -1e9
)

// recordReader reads the fields of a record in sequence. It keeps the first error in err and returns zeros from
// then on.
type recordReader struct {
	data []byte
	pos  int
	end  int // of the current record
	code int // of the current record
	err  error
}

func (r *recordReader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > r.end-r.pos) {
		r.err = fmt.Errorf("code %d: %d bytes wanted at byte %d, the record ends at byte %d",
			r.code, n, r.pos, r.end)
	}
	if r.err != nil {
		return make([]byte, max(0, min(n, 8)))
	}
	r.pos += n
	return r.data[r.pos-n : r.pos]
}

func (r *recordReader) u8() uint8   { return r.take(1)[0] }
func (r *recordReader) u16() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *recordReader) u32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *recordReader) u64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

func (r *recordReader) f32() float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(r.take(4))))
}

func (r *recordReader) seconds() float64 { return float64(r.u64()) / 1e9 }

func (r *recordReader) address() (a [6]byte) {
	copy(a[:], r.take(6))
	return a
}

func (r *recordReader) report() []float64 {
	n := int(r.u8())
	if n == 0 || n*4 > r.end-r.pos {
		r.take(n * 4)
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = r.f32()
	}
	return values
}

// instance is one router, with the tables that translate addresses and ids of the protocol.
type instance struct {
	id            uint32
	reply         *[]byte
	actionCount   *int
	startClock    uint64
	router        *decide.Router
	engineIndexes map[[6]byte]int
	addresses     [][6]byte
	completions   map[uint64]*decide.Completion
}

func (in *instance) engineIndex(address [6]byte) int {
	index, known := in.engineIndexes[address]
	if !known {
		index = len(in.addresses)
		in.engineIndexes[address] = index
		in.addresses = append(in.addresses, address)
	}
	return index
}

func (in *instance) secondsSinceStart(clock uint64) float64 {
	return float64(int64(clock-in.startClock)) / 1e9
}

// Host runs the router instances of one process.
type Host struct {
	instances   map[uint32]*instance
	reply       []byte
	actionCount int
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	head, body := make([]byte, batchHeaderBytes), []byte(nil)
	for {
		if _, err := io.ReadFull(r, head); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("code 0: the batch header ends before byte %d", batchHeaderBytes)
		}
		size := int(binary.LittleEndian.Uint32(head[4:]))
		if size > maxBatchBytes {
			return fmt.Errorf("code 0: a batch of %d bytes at byte 4", size)
		}
		if cap(body) < size {
			body = make([]byte, size)
		}
		body = body[:size]
		if n, err := io.ReadFull(r, body); err != nil {
			return fmt.Errorf("code 0: the batch ends at byte %d of %d", n, size)
		}
		reply, err := h.HandleBatch(int(binary.LittleEndian.Uint32(head)), binary.LittleEndian.Uint64(head[8:]), body)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// HandleBatch executes one batch of count records and returns the reply, which is valid until the next call.
func (h *Host) HandleBatch(count int, clock uint64, body []byte) ([]byte, error) {
	h.reply, h.actionCount = append(h.reply[:0], make([]byte, 8)...), 0
	r := &recordReader{data: body}
	for range count {
		r.code, r.end = 0, len(body)
		code, size := int(r.u16()), int(r.u32())
		if r.err != nil {
			return nil, r.err
		}
		if r.code = code; size > len(body)-r.pos {
			return nil, fmt.Errorf("code %d: a record of %d bytes at byte %d, the batch ends at byte %d",
				code, size, r.pos, len(body))
		}
		r.end = r.pos + size
		if handler := handlers[code]; handler == nil {
			r.pos = r.end
		} else {
			handler(h, r, clock)
		}
		if r.err != nil {
			return nil, r.err
		}
		if r.pos != r.end {
			return nil, fmt.Errorf("code %d: %d bytes too many at byte %d", code, r.end-r.pos, r.pos)
		}
	}
	if r.pos != len(body) {
		return nil, fmt.Errorf("code 0: %d bytes after the last record at byte %d", len(body)-r.pos, r.pos)
	}
	binary.LittleEndian.PutUint32(h.reply, uint32(h.actionCount))
	binary.LittleEndian.PutUint32(h.reply[4:], uint32(len(h.reply)-8))
	return h.reply, nil
}

// withInstance sets the instance's time and runs call. After a panic it reports a fatal error of the instance and
// removes it. It does nothing after a read error or for an unknown instance.
func (h *Host) withInstance(id uint32, clock uint64, err error, call func(in *instance)) {
	in := h.instances[id]
	if in == nil || err != nil {
		return
	}
	defer func() {
		if panicValue := recover(); panicValue != nil {
			delete(h.instances, id)
			in.reportFatal(fmt.Sprint(panicValue))
		}
	}()
	in.router.SetTime(in.secondsSinceStart(clock))
	call(in)
}

// withCompletion runs call for a completion. It does nothing for one that is unknown or closed.
func (h *Host) withCompletion(instanceID uint32, clock, id uint64, err error, call func(in *instance, c *decide.Completion)) {
	h.withInstance(instanceID, clock, err, func(in *instance) {
		if c := in.completions[id]; c != nil {
			call(in, c)
			if c.Closed() {
				delete(in.completions, id)
			}
		}
	})
}
