package wire

import (
	"encoding/binary"
	"math"
)

// act starts an action's record of so many bytes after the instance's number.
func (in *instance) act(code uint16, size int) {
	*in.out = binary.LittleEndian.AppendUint16(*in.out, code)
	*in.out = binary.LittleEndian.AppendUint32(*in.out, uint32(size+4))
	*in.out = binary.LittleEndian.AppendUint32(*in.out, in.who)
	*in.count++
}

func (in *instance) u64(v uint64) { *in.out = binary.LittleEndian.AppendUint64(*in.out, v) }

func (in *instance) text(code uint16, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	in.act(code, 2+len(text))
	*in.out = binary.LittleEndian.AppendUint16(*in.out, uint16(len(text)))
	*in.out = append(*in.out, text...)
}

func (in *instance) die(text string) { in.text(1090, text) }

func nanoseconds(s float64) uint64 { return uint64(max(0, math.Ceil(s*1e9))) }

// Dispatch is the action of that name in decide.Actions, as are the methods below.
func (in *instance) Dispatch(completion uint64, engine int, timeout float64) {
	in.act(1030, 22)
	in.u64(completion)
	*in.out = append(*in.out, in.address[engine][:]...)
	in.u64(nanoseconds(timeout))
}

func (in *instance) Reserve(completion uint64, engine int) {
	in.act(1070, 14)
	in.u64(completion)
	*in.out = append(*in.out, in.address[engine][:]...)
}

func (in *instance) Release(completion uint64) {
	in.act(1140, 8)
	in.u64(completion)
}

func (in *instance) RateLimit(completion uint64, comeBack float64) {
	in.act(1080, 16)
	in.u64(completion)
	in.u64(nanoseconds(comeBack))
}

func (in *instance) Abort(completion uint64) {
	in.act(1020, 8)
	in.u64(completion)
}

func (in *instance) Cancel(completion uint64, dispatch int) {
	in.act(1060, 9)
	in.u64(completion)
	*in.out = append(*in.out, byte(dispatch))
}

func (in *instance) SetTimer(completion uint64, after float64) {
	in.act(1130, 16)
	in.u64(nanoseconds(after))
	in.u64(completion)
}

func (in *instance) SetRouterTimer(after float64) { in.SetTimer(routerWake, after) }

func (in *instance) Probe(engine int) {
	in.act(1110, 6)
	*in.out = append(*in.out, in.address[engine][:]...)
}

func (in *instance) WatchEngines() {
	in.act(1040, 1)
	*in.out = append(*in.out, 1)
}

func (in *instance) Log(text string) { in.text(1010, text) }
