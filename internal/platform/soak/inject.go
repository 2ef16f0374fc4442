package soak

import (
	"context"
	"syscall"
	"time"

	"cherryhub/internal/platform/faultproxy"
)

// cause has a fault come, and waits until it is over where it ends by itself.
func (p *scenarioRun) inject(ctx context.Context, e Event) {
	switch e.Fault {
	case OpenSilent:
		p.proxies[e.Engine].SilenceOpen()
	case IdleSilent:
		p.proxies[e.Engine].SilenceIdle(idleTime)
	case AllSilent:
		for _, proxy := range p.proxies {
			proxy.SilenceOpen()
		}
	case SendSilent:
		p.proxies[e.Engine].SilenceOpenOnSend(longCallBytes)
	case EngineVanishes:
		p.fleet.MarkStopped(engines[e.Engine].name)
		p.proxies[e.Engine].Vanish()
		sleep(ctx, e.Duration)
		p.proxies[e.Engine].Restore()
	case HangsAtCall:
		p.mu.Lock()
		p.hangsAtCall[engines[e.Engine].name] = e.Duration
		p.mu.Unlock()
	case EngineRestarts:
		p.restartEngine(e)
	case FewDescriptors:
		end := p.currentProcess(e.Router).freezeDescriptors()
		sleep(ctx, e.Duration)
		end()
	case EngineStopped:
		p.fleet.MarkStopped(engines[e.Engine].name)
		p.pauseTraffic(ctx, e, p.proxies[e.Engine:e.Engine+1], faultproxy.ToEngine, faultproxy.ToRouter)
	case ZoneOneWay:
		p.zoneCut.Lock() // one zone after another: with both cut a router can reach nobody, and nothing could be let go
		defer p.zoneCut.Unlock()
		p.pauseTraffic(ctx, e, p.zoneProxies(e.Engine), [...]faultproxy.Direction{faultproxy.ToEngine, faultproxy.ToRouter}[e.Variant])
	case EngineHung:
		p.fleet.Hang(engines[e.Engine].name, time.Now().Add(e.Duration))
	case Resets:
		p.proxies[e.Engine].ResetOpen()
	case DiscoveryMute:
		end := p.routers[e.Router].discovery.Silence()
		sleep(ctx, e.Duration)
		end()
	case EnginesDrain:
		p.announceDrain(drainable[e.Variant])
	case LogStalls:
		end := p.currentProcess(e.Router).log.stall()
		sleep(ctx, e.Duration)
		end()
	case LogCut:
		p.currentProcess(e.Router).log.closeReader()
	case RouterPauses:
		one := p.currentProcess(e.Router)
		one.signal(syscall.SIGSTOP)
		time.Sleep(pauseDuration)
		one.signal(syscall.SIGCONT)
	case RoutersReload:
		p.reload(e)
	case RoutersRestart:
		p.restart(ctx, e.Router, p.terminate)
	case RouterKilled:
		p.restart(ctx, e.Router, (*process).kill)
	case AnswerSilent, BytesSilent, StartSilent, AnswerLost, LateConns, LateAnswers, LateBytes: // by plan, by wait
	case ClientsLeave, ClientsCrowd, SlowClients, ClientsReset, ClientsStall, ClientsPipeline: // by clients
	}
}

// restartEngine has an engine lose the calls that it has. Its connections are reset, or stay open and carry nothing.
func (p *scenarioRun) restartEngine(e Event) {
	p.fleet.Hang(engines[e.Engine].name, time.Now())
	if e.Variant == 0 {
		p.proxies[e.Engine].ResetOpen()
		return
	}
	p.proxies[e.Engine].SilenceOpen()
}

// hold holds back what passes in some directions, for the event's length.
func (p *scenarioRun) pauseTraffic(ctx context.Context, e Event, of []*faultproxy.Proxy, ways ...faultproxy.Direction) {
	for _, proxy := range of {
		for _, way := range ways {
			proxy.Pause(way)
		}
	}
	sleep(ctx, e.Duration)
	for _, proxy := range of {
		for _, way := range ways {
			proxy.Resume(way)
		}
	}
}

// zoneOf are the proxies of an engine's zone.
func (p *scenarioRun) zoneProxies(engine int) (zone []*faultproxy.Proxy) {
	for n, kind := range engines {
		if kind.zone == engines[engine].zone {
			zone = append(zone, p.proxies[n])
		}
	}
	return zone
}

// drain tells all routers that an engine drains; it stays so.
func (p *scenarioRun) announceDrain(engine int) {
	h := engines[engine].host(p.proxies[engine].Address())
	h.Health = "Terminating"
	for _, r := range p.routers {
		r.discovery.Update(h)
	}
}

// current is a router's process.
func (p *scenarioRun) currentProcess(n int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routers[n].process
}

// reload sends SIGHUP, in one form with SIGTERM right behind.
func (p *scenarioRun) reload(e Event) {
	r := p.routers[e.Router]
	if e.Variant == 0 {
		p.currentProcess(e.Router).signal(syscall.SIGHUP)
		return
	}
	r.processLock.Lock()
	defer r.processLock.Unlock()
	p.currentProcess(e.Router).signal(syscall.SIGHUP)
	p.restartLocked(context.Background(), e.Router, p.terminate)
}

// restart ends a router's process in some way and starts another.
func (p *scenarioRun) restart(ctx context.Context, n int, end func(*process)) {
	r := p.routers[n]
	r.processLock.Lock()
	defer r.processLock.Unlock()
	p.restartLocked(ctx, n, end)
}

// restartHeld is restart by one that has the router to itself.
func (p *scenarioRun) restartLocked(ctx context.Context, n int, end func(*process)) {
	end(p.currentProcess(n))
	time.Sleep(restartDelay)
	if err := p.launch(n); err != nil {
		return // its clients see nobody
	}
	p.awaitReady(ctx, n) //nolint:errcheck // as above
}
