// Package wire turns binary frames into calls on routers and their actions into a reply. It decides nothing.
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
	routerTimerToken = math.MaxUint64 // the timer token that means the router, not a completion
	startedLongAgo   = -1e9
)

// frame reads fields in sequence; its first misfit is kept in err.
type recordReader struct {
	data []byte
	pos  int
	end  int // of the record
	code int
	err  error
}

func (f *recordReader) take(n int) []byte {
	if f.err == nil && (n < 0 || n > f.end-f.pos) {
		f.err = fmt.Errorf("code %d: %d bytes wanted at byte %d, the record ends at byte %d",
			f.code, n, f.pos, f.end)
	}
	if f.err != nil {
		return make([]byte, max(0, min(n, 8)))
	}
	f.pos += n
	return f.data[f.pos-n : f.pos]
}

func (f *recordReader) u8() uint8   { return f.take(1)[0] }
func (f *recordReader) u16() uint16 { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *recordReader) u32() uint32 { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *recordReader) u64() uint64 { return binary.LittleEndian.Uint64(f.take(8)) }

func (f *recordReader) f32() float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(f.take(4))))
}

func (f *recordReader) seconds() float64 { return float64(f.u64()) / 1e9 }

func (f *recordReader) address() (a [6]byte) {
	copy(a[:], f.take(6))
	return a
}

func (f *recordReader) report() []float64 {
	n := int(f.u8())
	if n == 0 || n*4 > f.end-f.pos {
		f.take(n * 4)
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = f.f32()
	}
	return values
}

// instance is one router and its door: ids on the wire to small indices and back.
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

func (in *instance) engineIndex(a [6]byte) int {
	i, known := in.engineIndexes[a]
	if !known {
		i = len(in.addresses)
		in.engineIndexes[a] = i
		in.addresses = append(in.addresses, a)
	}
	return i
}

func (in *instance) secondsSinceStart(clock uint64) float64 {
	return float64(int64(clock-in.startClock)) / 1e9
}

// Host holds the instances of one process.
type Host struct {
	instances   map[uint32]*instance
	reply       []byte
	actionCount int
}

// NewHost makes a host without instances.
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

// Batch carries out one batch and returns the whole reply, which holds until the next call.
func (h *Host) HandleBatch(count int, clock uint64, body []byte) ([]byte, error) {
	h.reply, h.actionCount = append(h.reply[:0], make([]byte, 8)...), 0
	f := &recordReader{data: body}
	for range count {
		f.code, f.end = 0, len(body)
		code, size := int(f.u16()), int(f.u32())
		if f.err != nil {
			return nil, f.err
		}
		if f.code = code; size > len(body)-f.pos {
			return nil, fmt.Errorf("code %d: a record of %d bytes at byte %d, the batch ends at byte %d",
				code, size, f.pos, len(body))
		}
		f.end = f.pos + size
		if handler := handlers[code]; handler == nil {
			f.pos = f.end
		} else {
			handler(h, f, clock)
		}
		if f.err != nil {
			return nil, f.err
		}
		if f.pos != f.end {
			return nil, fmt.Errorf("code %d: %d bytes too many at byte %d", code, f.end-f.pos, f.pos)
		}
	}
	if f.pos != len(body) {
		return nil, fmt.Errorf("code 0: %d bytes after the last record at byte %d", len(body)-f.pos, f.pos)
	}
	binary.LittleEndian.PutUint32(h.reply, uint32(h.actionCount))
	binary.LittleEndian.PutUint32(h.reply[4:], uint32(len(h.reply)-8))
	return h.reply, nil
}

// call runs f for the instance at the clock's time; a panic becomes the instance's fault.
func (h *Host) withInstance(who uint32, clock uint64, err error, f func(in *instance)) {
	in := h.instances[who]
	if in == nil || err != nil {
		return
	}
	defer func() {
		if trouble := recover(); trouble != nil {
			delete(h.instances, who)
			in.reportFatal(fmt.Sprint(trouble))
		}
	}()
	in.router.SetTime(in.secondsSinceStart(clock))
	f(in)
}

// onHandle runs f for a completion; one that is unknown or over is left alone.
func (h *Host) withCompletion(who uint32, clock, id uint64, err error, f func(in *instance, c *decide.Completion)) {
	h.withInstance(who, clock, err, func(in *instance) {
		if c := in.completions[id]; c != nil {
			f(in, c)
			if c.Closed() {
				delete(in.completions, id)
			}
		}
	})
}
