package wire

import (
	"encoding/binary"

	"cherryhub/decide"
	"cherryhub/internal/settings"
)

var handlers = map[int]func(h *Host, r *recordReader, clock uint64){
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

// outcomeOf treats an unknown code as an error, after which the dispatch may or may not have run.
func outcomeOf(code uint16) decide.Outcome {
	if outcome, known := outcomesByCode[code]; known {
		return outcome
	}
	return decide.Errored
}

func startInstance(h *Host, r *recordReader, clock uint64) {
	instanceID, seed := r.u32(), r.u64()
	text := r.take(int(r.u32()))
	if r.err != nil {
		return
	}
	in := &instance{id: instanceID, reply: &h.reply, actionCount: &h.actionCount, startClock: clock,
		engineIndexes: map[[6]byte]int{}, completions: map[uint64]*decide.Completion{}}
	parsed, err := settings.Parse(text)
	if err == nil {
		parsed.Decide.Seed = seed
		in.router, err = decide.New(parsed.Decide, in)
	}
	if err != nil {
		delete(h.instances, instanceID)
		in.reportFatal(err.Error())
		return
	}
	h.instances[instanceID] = in
}

func stopInstance(h *Host, r *recordReader, _ uint64) {
	if instanceID := r.u32(); r.err == nil {
		delete(h.instances, instanceID)
	}
}

func updateEngines(h *Host, r *recordReader, clock uint64) {
	instanceID, listKind := r.u32(), r.u8()
	r.u64()
	count := int(r.u32())
	entries := &recordReader{data: r.data, pos: r.pos, end: r.end, code: r.code}
	r.take(count * 24)
	h.withInstance(instanceID, clock, r.err, func(in *instance) {
		engines := make([]decide.EngineEntry, count)
		for i := range engines {
			address := entries.address()
			entry := decide.EngineEntry{Index: in.engineIndex(address), Hash: addressHash(address), Zone: int(entries.u16()), MachineKind: int(entries.u8()),
				Cell: int(entries.u16()), Phase: decide.Phase(entries.u8()), StartedAt: startedLongAgo}
			entries.f32()
			if startClock := entries.u64(); startClock != 0 {
				entry.StartedAt = in.secondsSinceStart(startClock)
			}
			engines[i] = entry
		}
		in.router.UpdateEngines(decide.ListKind(listKind), engines)
	})
}

// addressHash returns the address as a number.
func addressHash(address [6]byte) uint64 {
	return uint64(binary.LittleEndian.Uint32(address[:4]))<<16 | uint64(binary.LittleEndian.Uint16(address[4:]))
}

func routeCompletion(h *Host, r *recordReader, clock uint64) {
	instanceID, id, flags, outputTimeHint := r.u32(), r.u64(), r.u16(), r.seconds()
	prompt := decide.Prompt{Workload: int(r.u8()), SharedPrefixTokens: r.f32(), MaxOutputTokens: r.f32(), Tokens: r.f32(),
		Session: r.u64(), SharedPrefix: r.u64(), Tenant: int(r.u16()), TimeLeft: r.seconds()}
	if flags&1 != 0 {
		prompt.OutputTimeHint = outputTimeHint
	}
	prompt.Resumed = flags&16 != 0
	h.withInstance(instanceID, clock, r.err, func(in *instance) {
		if c := in.router.Route(id, prompt); !c.Closed() {
			in.completions[id] = c
		}
	})
}

func dispatchStarted(h *Host, r *recordReader, clock uint64) {
	instanceID, id, dispatch := r.u32(), r.u64(), int(r.u8())
	r.address()
	elapsed := r.seconds()
	h.withCompletion(instanceID, clock, id, r.err, func(_ *instance, c *decide.Completion) { c.DispatchStarted(dispatch, elapsed) })
}

func dispatchEnded(h *Host, r *recordReader, clock uint64) {
	instanceID, id, dispatch := r.u32(), r.u64(), int(r.u8())
	r.address()
	code, elapsed, finished, cachedTokens, report := r.u16(), r.seconds(), r.u8() != 0, r.u32(), r.report()
	h.withCompletion(instanceID, clock, id, r.err, func(_ *instance, c *decide.Completion) {
		c.DispatchEnded(dispatch, outcomeOf(code), elapsed, finished, float64(cachedTokens), report)
	})
}

func clientLeft(h *Host, r *recordReader, clock uint64) {
	instanceID, id := r.u32(), r.u64()
	h.withCompletion(instanceID, clock, id, r.err, func(_ *instance, c *decide.Completion) { c.ClientLeft() })
}

func timerFired(h *Host, r *recordReader, clock uint64) {
	instanceID, timerToken := r.u32(), r.u64()
	if timerToken == routerTimerToken {
		h.withInstance(instanceID, clock, r.err, func(in *instance) { in.router.TimerFired() })
		return
	}
	h.withCompletion(instanceID, clock, timerToken, r.err, func(_ *instance, c *decide.Completion) { c.TimerFired() })
}

func probeEnded(h *Host, r *recordReader, clock uint64) {
	instanceID, address, code, _, report := r.u32(), r.address(), r.u16(), r.seconds(), r.report()
	h.withInstance(instanceID, clock, r.err, func(in *instance) {
		in.router.ProbeEnded(in.engineIndex(address), outcomeOf(code), report)
	})
}

func skipInbox(_ *Host, r *recordReader, _ uint64) {
	r.take(6)
	r.take(int(r.u16()))
}

func reservationAnswered(h *Host, r *recordReader, clock uint64) {
	instanceID, id, _, dispatch, _, result := r.u32(), r.u64(), r.f32(), int(r.u8()), r.address(), r.u8()
	h.withCompletion(instanceID, clock, id, r.err, func(_ *instance, c *decide.Completion) { c.ReservationAnswered(dispatch, result == 1) })
}
