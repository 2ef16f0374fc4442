package wire

import (
	"encoding/binary"

	"cherryhub/decide"
	"cherryhub/internal/settings"
)

var handlers = map[int]func(h *Host, f *frame, clock uint64){
	1000: spawn,
	1010: announce,
	1020: query,
	1030: headers,
	1040: reportBack,
	1050: clientLeft,
	1060: elapsed,
	1070: healthResult,
	1080: inbox,
	1090: kill,
	1100: booking,
}

var outcomes = map[uint16]decide.Outcome{
	200: decide.Finished,
	502: decide.Errored,
	429: decide.Full,
	408: decide.TimedOut,
	521: decide.Unreachable,
	520: decide.Broken,
	444: decide.Cancelled,
	409: decide.NotSent,
	100: decide.Read,
}

// outcome takes an unknown code for an error, which promises nothing.
func outcome(code uint16) decide.Outcome {
	if o, known := outcomes[code]; known {
		return o
	}
	return decide.Errored
}

func spawn(h *Host, f *frame, clock uint64) {
	who, seed := f.u32(), f.u64()
	text := f.take(int(f.u32()))
	if f.err != nil {
		return
	}
	in := &instance{who: who, out: &h.reply, count: &h.count, start: clock,
		engines: map[[6]byte]int{}, handles: map[uint64]*decide.Completion{}}
	all, err := settings.Parse(text)
	if err == nil {
		all.Decide.Seed = seed
		in.router, err = decide.New(all.Decide, in)
	}
	if err != nil {
		delete(h.instances, who)
		in.die(err.Error())
		return
	}
	h.instances[who] = in
}

func kill(h *Host, f *frame, _ uint64) {
	if who := f.u32(); f.err == nil {
		delete(h.instances, who)
	}
}

func announce(h *Host, f *frame, clock uint64) {
	who, scope := f.u32(), f.u8()
	f.u64()
	n := int(f.u32())
	entries := &frame{data: f.data, pos: f.pos, end: f.end, code: f.code}
	f.take(n * 24)
	h.call(who, clock, f.err, func(in *instance) {
		facts := make([]decide.EngineEntry, n)
		for i := range facts {
			address := entries.address()
			e := decide.EngineEntry{Index: in.engine(address), Hash: mark(address), Zone: int(entries.u16()), MachineKind: int(entries.u8()),
				Cell: int(entries.u16()), Phase: decide.Phase(entries.u8()), StartedAt: longAgo}
			entries.float()
			if since := entries.u64(); since != 0 {
				e.StartedAt = in.since(since)
			}
			facts[i] = e
		}
		in.router.UpdateEngines(decide.ListKind(scope), facts)
	})
}

// mark is an address as a number.
func mark(address [6]byte) uint64 {
	return uint64(binary.LittleEndian.Uint32(address[:4]))<<16 | uint64(binary.LittleEndian.Uint16(address[4:]))
}

func query(h *Host, f *frame, clock uint64) {
	who, id, bits, hint := f.u32(), f.u64(), f.u16(), f.seconds()
	p := decide.Prompt{Workload: int(f.u8()), SharedPrefixTokens: f.float(), MaxOutputTokens: f.float(), Tokens: f.float(),
		Session: f.u64(), SharedPrefix: f.u64(), Tenant: int(f.u16()), TimeLeft: f.seconds()}
	if bits&1 != 0 {
		p.OutputTimeHint = hint
	}
	p.Resumed = bits&16 != 0
	h.call(who, clock, f.err, func(in *instance) {
		if c := in.router.Route(id, p); !c.Closed() {
			in.handles[id] = c
		}
	})
}

func headers(h *Host, f *frame, clock uint64) {
	who, id, n := f.u32(), f.u64(), int(f.u8())
	f.address()
	took := f.seconds()
	h.onHandle(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.DispatchStarted(n, took) })
}

func reportBack(h *Host, f *frame, clock uint64) {
	who, id, n := f.u32(), f.u64(), int(f.u8())
	f.address()
	verdict, took, done, note, report := f.u16(), f.seconds(), f.u8() != 0, f.u32(), f.report()
	h.onHandle(who, clock, id, f.err, func(_ *instance, c *decide.Completion) {
		c.DispatchEnded(n, outcome(verdict), took, done, float64(note), report)
	})
}

func clientLeft(h *Host, f *frame, clock uint64) {
	who, id := f.u32(), f.u64()
	h.onHandle(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.ClientLeft() })
}

func elapsed(h *Host, f *frame, clock uint64) {
	who, token := f.u32(), f.u64()
	if token == routerWake {
		h.call(who, clock, f.err, func(in *instance) { in.router.TimerFired() })
		return
	}
	h.onHandle(who, clock, token, f.err, func(_ *instance, c *decide.Completion) { c.TimerFired() })
}

func healthResult(h *Host, f *frame, clock uint64) {
	who, engine, verdict, _, report := f.u32(), f.address(), f.u16(), f.seconds(), f.report()
	h.call(who, clock, f.err, func(in *instance) {
		in.router.ProbeEnded(in.engine(engine), outcome(verdict), report)
	})
}

func inbox(_ *Host, f *frame, _ uint64) {
	f.take(6)
	f.take(int(f.u16()))
}

func booking(h *Host, f *frame, clock uint64) {
	who, id, _, n, _, kind := f.u32(), f.u64(), f.float(), int(f.u8()), f.address(), f.u8()
	h.onHandle(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.ReservationAnswered(n, kind == 1) })
}
