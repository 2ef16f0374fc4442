package soak

import (
	"context"
	"syscall"
	"time"

	"cherryhub/internal/platform/faultproxy"
)

// inject starts an event's fault. If the fault ends by itself, inject waits until then.
func (sr *scenarioRun) inject(ctx context.Context, e Event) {
	switch e.Fault {
	case OpenSilent:
		sr.proxies[e.Engine].SilenceOpen()
	case IdleSilent:
		sr.proxies[e.Engine].SilenceIdle(minIdleTime)
	case AllSilent:
		for _, proxy := range sr.proxies {
			proxy.SilenceOpen()
		}
	case SendSilent:
		sr.proxies[e.Engine].SilenceOpenOnSend(longCallBytes)
	case EngineVanishes:
		sr.fleet.MarkStopped(engines[e.Engine].name)
		sr.proxies[e.Engine].Vanish()
		sleep(ctx, e.Duration)
		sr.proxies[e.Engine].Restore()
	case HangsAtCall:
		sr.mu.Lock()
		sr.hangsAtCall[engines[e.Engine].name] = e.Duration
		sr.mu.Unlock()
	case EngineRestarts:
		sr.restartEngine(e)
	case FewDescriptors:
		restore := sr.currentProcess(e.Router).freezeDescriptors()
		sleep(ctx, e.Duration)
		restore()
	case EngineStopped:
		sr.fleet.MarkStopped(engines[e.Engine].name)
		sr.pauseTraffic(ctx, e, sr.proxies[e.Engine:e.Engine+1], faultproxy.ToEngine, faultproxy.ToRouter)
	case ZoneOneWay:
		sr.zoneCut.Lock() // one zone at a time: with both cut off no router could send a release
		defer sr.zoneCut.Unlock()
		sr.pauseTraffic(ctx, e, sr.zoneProxies(e.Engine), [...]faultproxy.Direction{faultproxy.ToEngine, faultproxy.ToRouter}[e.Variant])
	case EngineHung:
		sr.fleet.Hang(engines[e.Engine].name, time.Now().Add(e.Duration))
	case Resets:
		sr.proxies[e.Engine].ResetOpen()
	case DiscoveryMute:
		resume := sr.routers[e.Router].discovery.Silence()
		sleep(ctx, e.Duration)
		resume()
	case EnginesDrain:
		sr.announceDrain(drainable[e.Variant])
	case LogStalls:
		resume := sr.currentProcess(e.Router).log.stall()
		sleep(ctx, e.Duration)
		resume()
	case LogCut:
		sr.currentProcess(e.Router).log.closeReader()
	case RouterPauses:
		proc := sr.currentProcess(e.Router)
		proc.signal(syscall.SIGSTOP)
		time.Sleep(pauseDuration)
		proc.signal(syscall.SIGCONT)
	case RoutersReload:
		sr.reload(e)
	case RoutersRestart:
		sr.restart(ctx, e.Router, sr.terminate)
	case RouterKilled:
		sr.restart(ctx, e.Router, (*process).kill)
	case AnswerSilent, BytesSilent, StartSilent, AnswerLost, LateConns, LateAnswers, LateBytes: // injected by plan and answerDelay
	case ClientsLeave, ClientsCrowd, SlowClients, ClientsReset, ClientsStall, ClientsPipeline: // injected by the clients and openIdleClients
	}
}

// restartEngine makes an engine lose its running calls. Its connections are reset or become silent, depending on the variant.
func (sr *scenarioRun) restartEngine(e Event) {
	sr.fleet.Hang(engines[e.Engine].name, time.Now())
	if e.Variant == 0 {
		sr.proxies[e.Engine].ResetOpen()
		return
	}
	sr.proxies[e.Engine].SilenceOpen()
}

// pauseTraffic pauses traffic in the given directions for the duration of the event.
func (sr *scenarioRun) pauseTraffic(ctx context.Context, e Event, proxies []*faultproxy.Proxy, directions ...faultproxy.Direction) {
	for _, proxy := range proxies {
		for _, direction := range directions {
			proxy.Pause(direction)
		}
	}
	sleep(ctx, e.Duration)
	for _, proxy := range proxies {
		for _, direction := range directions {
			proxy.Resume(direction)
		}
	}
}

// zoneProxies returns the proxies of all engines in an engine's zone.
func (sr *scenarioRun) zoneProxies(engine int) (zone []*faultproxy.Proxy) {
	for n, spec := range engines {
		if spec.zone == engines[engine].zone {
			zone = append(zone, sr.proxies[n])
		}
	}
	return zone
}

// announceDrain lists an engine as draining to all routers, for the rest of the run.
func (sr *scenarioRun) announceDrain(engine int) {
	entry := engines[engine].entry(sr.proxies[engine].Address())
	entry.Health = "Terminating"
	for _, r := range sr.routers {
		r.discovery.Update(entry)
	}
}

// currentProcess returns a router's current process.
func (sr *scenarioRun) currentProcess(n int) *process {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.routers[n].process
}

// reload sends SIGHUP, in one variant followed at once by SIGTERM and a restart.
func (sr *scenarioRun) reload(e Event) {
	r := sr.routers[e.Router]
	if e.Variant == 0 {
		sr.currentProcess(e.Router).signal(syscall.SIGHUP)
		return
	}
	r.processLock.Lock()
	defer r.processLock.Unlock()
	sr.currentProcess(e.Router).signal(syscall.SIGHUP)
	sr.restartLocked(context.Background(), e.Router, sr.terminate)
}

// restart ends a router's process with the given function and starts a new one.
func (sr *scenarioRun) restart(ctx context.Context, n int, end func(*process)) {
	r := sr.routers[n]
	r.processLock.Lock()
	defer r.processLock.Unlock()
	sr.restartLocked(ctx, n, end)
}

// restartLocked is restart for callers that hold the router's processLock.
func (sr *scenarioRun) restartLocked(ctx context.Context, n int, end func(*process)) {
	end(sr.currentProcess(n))
	time.Sleep(restartDelay)
	if err := sr.launch(n); err != nil {
		return // its clients cannot connect
	}
	sr.awaitReady(ctx, n) //nolint:errcheck // its clients cannot connect then
}
