package wire

import (
	"encoding/binary"
	"math"
)

// beginAction starts the record of an action: its code, its size and the instance's id. The caller appends size
// bytes.
func (in *instance) beginAction(code uint16, size int) {
	*in.reply = binary.LittleEndian.AppendUint16(*in.reply, code)
	*in.reply = binary.LittleEndian.AppendUint32(*in.reply, uint32(size+4))
	*in.reply = binary.LittleEndian.AppendUint32(*in.reply, in.id)
	*in.actionCount++
}

func (in *instance) appendUint64(v uint64) {
	*in.reply = binary.LittleEndian.AppendUint64(*in.reply, v)
}

func (in *instance) appendText(code uint16, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	in.beginAction(code, 2+len(text))
	*in.reply = binary.LittleEndian.AppendUint16(*in.reply, uint16(len(text)))
	*in.reply = append(*in.reply, text...)
}

func (in *instance) reportFatal(text string) { in.appendText(1090, text) }

func nanoseconds(seconds float64) uint64 { return uint64(max(0, math.Ceil(seconds*1e9))) }

// Dispatch and the methods below implement decide.Actions. The bench sends a dispatch at once, so the time by which it has to be sent is kept.
func (in *instance) Dispatch(completion uint64, engine int, timeout, _ float64) {
	in.beginAction(1030, 22)
	in.appendUint64(completion)
	*in.reply = append(*in.reply, in.addresses[engine][:]...)
	in.appendUint64(nanoseconds(timeout))
}

func (in *instance) Reserve(completion uint64, engine int) {
	in.beginAction(1070, 14)
	in.appendUint64(completion)
	*in.reply = append(*in.reply, in.addresses[engine][:]...)
}

func (in *instance) Release(completion uint64) {
	in.beginAction(1140, 8)
	in.appendUint64(completion)
}

func (in *instance) RateLimit(completion uint64, retryAfter float64) {
	in.beginAction(1080, 16)
	in.appendUint64(completion)
	in.appendUint64(nanoseconds(retryAfter))
}

func (in *instance) Abort(completion uint64) {
	in.beginAction(1020, 8)
	in.appendUint64(completion)
}

func (in *instance) Cancel(completion uint64, dispatch int) {
	in.beginAction(1060, 9)
	in.appendUint64(completion)
	*in.reply = append(*in.reply, byte(dispatch))
}

func (in *instance) SetTimer(completion uint64, after float64) {
	in.beginAction(1130, 16)
	in.appendUint64(nanoseconds(after))
	in.appendUint64(completion)
}

func (in *instance) SetRouterTimer(after float64) { in.SetTimer(routerTimerToken, after) }

func (in *instance) Probe(engine int) {
	in.beginAction(1110, 6)
	*in.reply = append(*in.reply, in.addresses[engine][:]...)
}

func (in *instance) WatchEngines() {
	in.beginAction(1040, 1)
	*in.reply = append(*in.reply, 1)
}

func (in *instance) Log(text string) { in.appendText(1010, text) }
