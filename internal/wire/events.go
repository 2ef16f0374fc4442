package wire

import (
	"encoding/binary"

	"cherryhub/decide"
	"cherryhub/internal/settings"
)

var handlers = map[int]func(h *Host, f *recordReader, clock uint64){
	1000: startInstance,
	1010: updateEngines,
	1020: routeCompletion,
	1030: dispatchStarted,
	1040: dispatchEnded,
	1050: clientLeft,
	1060: timerFired,
	1070: probeEnded,
	1080: skipInbox,
	1090: stopInstance,
	1100: reservationAnswered,
}

var outcomesByCode = map[uint16]decide.Outcome{
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
func outcomeOf(code uint16) decide.Outcome {
	if o, known := outcomesByCode[code]; known {
		return o
	}
	return decide.Errored
}

func startInstance(h *Host, f *recordReader, clock uint64) {
	who, seed := f.u32(), f.u64()
	text := f.take(int(f.u32()))
	if f.err != nil {
		return
	}
	in := &instance{id: who, reply: &h.reply, actionCount: &h.actionCount, startClock: clock,
		engineIndexes: map[[6]byte]int{}, completions: map[uint64]*decide.Completion{}}
	all, err := settings.Parse(text)
	if err == nil {
		all.Decide.Seed = seed
		in.router, err = decide.New(all.Decide, in)
	}
	if err != nil {
		delete(h.instances, who)
		in.reportFatal(err.Error())
		return
	}
	h.instances[who] = in
}

func stopInstance(h *Host, f *recordReader, _ uint64) {
	if who := f.u32(); f.err == nil {
		delete(h.instances, who)
	}
}

func updateEngines(h *Host, f *recordReader, clock uint64) {
	who, scope := f.u32(), f.u8()
	f.u64()
	n := int(f.u32())
	entries := &recordReader{data: f.data, pos: f.pos, end: f.end, code: f.code}
	f.take(n * 24)
	h.withInstance(who, clock, f.err, func(in *instance) {
		facts := make([]decide.EngineEntry, n)
		for i := range facts {
			address := entries.address()
			e := decide.EngineEntry{Index: in.engineIndex(address), Hash: addressHash(address), Zone: int(entries.u16()), MachineKind: int(entries.u8()),
				Cell: int(entries.u16()), Phase: decide.Phase(entries.u8()), StartedAt: startedLongAgo}
			entries.f32()
			if since := entries.u64(); since != 0 {
				e.StartedAt = in.secondsSinceStart(since)
			}
			facts[i] = e
		}
		in.router.UpdateEngines(decide.ListKind(scope), facts)
	})
}

// mark is an address as a number.
func addressHash(address [6]byte) uint64 {
	return uint64(binary.LittleEndian.Uint32(address[:4]))<<16 | uint64(binary.LittleEndian.Uint16(address[4:]))
}

func routeCompletion(h *Host, f *recordReader, clock uint64) {
	who, id, bits, hint := f.u32(), f.u64(), f.u16(), f.seconds()
	p := decide.Prompt{Workload: int(f.u8()), SharedPrefixTokens: f.f32(), MaxOutputTokens: f.f32(), Tokens: f.f32(),
		Session: f.u64(), SharedPrefix: f.u64(), Tenant: int(f.u16()), TimeLeft: f.seconds()}
	if bits&1 != 0 {
		p.OutputTimeHint = hint
	}
	p.Resumed = bits&16 != 0
	h.withInstance(who, clock, f.err, func(in *instance) {
		if c := in.router.Route(id, p); !c.Closed() {
			in.completions[id] = c
		}
	})
}

func dispatchStarted(h *Host, f *recordReader, clock uint64) {
	who, id, n := f.u32(), f.u64(), int(f.u8())
	f.address()
	took := f.seconds()
	h.withCompletion(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.DispatchStarted(n, took) })
}

func dispatchEnded(h *Host, f *recordReader, clock uint64) {
	who, id, n := f.u32(), f.u64(), int(f.u8())
	f.address()
	verdict, took, done, note, report := f.u16(), f.seconds(), f.u8() != 0, f.u32(), f.report()
	h.withCompletion(who, clock, id, f.err, func(_ *instance, c *decide.Completion) {
		c.DispatchEnded(n, outcomeOf(verdict), took, done, float64(note), report)
	})
}

func clientLeft(h *Host, f *recordReader, clock uint64) {
	who, id := f.u32(), f.u64()
	h.withCompletion(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.ClientLeft() })
}

func timerFired(h *Host, f *recordReader, clock uint64) {
	who, token := f.u32(), f.u64()
	if token == routerTimerToken {
		h.withInstance(who, clock, f.err, func(in *instance) { in.router.TimerFired() })
		return
	}
	h.withCompletion(who, clock, token, f.err, func(_ *instance, c *decide.Completion) { c.TimerFired() })
}

func probeEnded(h *Host, f *recordReader, clock uint64) {
	who, engine, verdict, _, report := f.u32(), f.address(), f.u16(), f.seconds(), f.report()
	h.withInstance(who, clock, f.err, func(in *instance) {
		in.router.ProbeEnded(in.engineIndex(engine), outcomeOf(verdict), report)
	})
}

func skipInbox(_ *Host, f *recordReader, _ uint64) {
	f.take(6)
	f.take(int(f.u16()))
}

func reservationAnswered(h *Host, f *recordReader, clock uint64) {
	who, id, _, n, _, kind := f.u32(), f.u64(), f.f32(), int(f.u8()), f.address(), f.u8()
	h.withCompletion(who, clock, id, f.err, func(_ *instance, c *decide.Completion) { c.ReservationAnswered(n, kind == 1) })
}
