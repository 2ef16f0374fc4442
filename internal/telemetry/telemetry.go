// Package telemetry provides a router's log, with slog, and its Prometheus metrics, which the router serves on its
// admin address. It only records what other packages report. internal/router creates both.
package telemetry

import (
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/planner"
	pb "cherryhub/proto"
)

// NewLogger returns a logger with the handler of NewLogHandler.
func NewLogger(w io.Writer, l *pb.Log) *slog.Logger { return slog.New(NewLogHandler(w, l)) }

// NewLogHandler returns a handler with the configured level that writes JSON or text.
func NewLogHandler(w io.Writer, l *pb.Log) slog.Handler {
	level := map[pb.Level]slog.Level{pb.Level_DEBUG: slog.LevelDebug, pb.Level_INFO: slog.LevelInfo,
		pb.Level_WARN: slog.LevelWarn, pb.Level_ERROR: slog.LevelError}[l.GetLevel()]
	if l.GetJson() {
		return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	}
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
}

var outcomeLabels = [...]string{decide.Finished: "finished", decide.Read: "read", decide.Errored: "errored", decide.Full: "full",
	decide.TimedOut: "timed_out", decide.Unreachable: "unreachable", decide.Broken: "broken", decide.Cancelled: "cancelled",
	decide.NotSent: "moot"}

// Metrics is a router's metrics. It implements edge.Observer and peer.Observer.
type Metrics struct {
	Registry *prometheus.Registry

	accepted     []prometheus.Counter
	answered     [][]prometheus.Counter
	answerTime   []prometheus.Observer
	ttft         []prometheus.Observer
	dispatches   [2][]prometheus.Counter
	dispatchTime [2]prometheus.Observer
	refused      *prometheus.CounterVec
	releases     *prometheus.CounterVec
	holdTime     prometheus.Histogram
	plannerDelay prometheus.Histogram
	probes       *prometheus.CounterVec
	takeovers    *prometheus.CounterVec
	peerResults  *prometheus.CounterVec
	dutyLateness prometheus.Histogram
}

// NewMetrics returns the metrics of a router with workloads of the given names.
func NewMetrics(workloads []string) *Metrics {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cherryhub", Name: name, Help: help}, labels)
		reg.MustRegister(v)
		return v
	}
	seconds := func(name, help string, first float64, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cherryhub", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(first, 2, 16)}, labels)
		reg.MustRegister(v)
		return v
	}
	accepted := counter("completions_taken_total", "Completions taken.", "workload")
	answered := counter("completions_total", "Completions by final answer.", "workload", "answer")
	answerTime := seconds("completion_seconds", "From the call's arrival to its final answer.", 0.001, "workload")
	ttft := seconds("ttft_seconds", "From the call's arrival to the first token.", 0.001, "workload")
	dispatches := counter("dispatches_total", "Dispatches by outcome.", "stage", "outcome")
	dispatchTime := seconds("dispatch_seconds", "From a dispatch's start to its end.", 0.001, "stage")
	m := &Metrics{Registry: reg,
		refused:     counter("refused_total", "Calls refused before a completion was taken.", "status"),
		releases:    counter("released_total", "States and places let go, by who saw to it.", "reason"),
		probes:      counter("probes_total", "Probes, and needs of one that were met otherwise, by reason.", "reason"),
		takeovers:   counter("duties_taken_over_total", "Duties whose last result was another router's, by cause.", "cause"),
		peerResults: counter("peer_results_total", "Other routers' results, by standing.", "standing"),
		plannerDelay: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cherryhub", Name: "planner_delay_seconds",
			Help: "From a fact's telling to the planner's reading.", Buckets: prometheus.ExponentialBuckets(1e-6, 4, 12)})}
	m.dutyLateness = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cherryhub", Name: "duty_late_seconds",
		Help: "Past its interval, when a duty is begun here.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)})
	m.holdTime = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cherryhub", Name: "held_seconds",
		Help: "From the last known use of what was held to its release.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)})
	reg.MustRegister(m.plannerDelay, m.dutyLateness, m.holdTime)
	for _, workload := range workloads {
		m.accepted = append(m.accepted, accepted.WithLabelValues(workload))
		m.answerTime = append(m.answerTime, answerTime.WithLabelValues(workload))
		m.ttft = append(m.ttft, ttft.WithLabelValues(workload))
		var byAnswer []prometheus.Counter
		for a := edge.Finished; a <= edge.ClientLeft; a++ {
			byAnswer = append(byAnswer, answered.WithLabelValues(workload, a.String()))
		}
		m.answered = append(m.answered, byAnswer)
	}
	for i, stage := range [...]string{"write", "read"} {
		m.dispatchTime[i] = dispatchTime.WithLabelValues(stage)
		for _, outcome := range outcomeLabels {
			m.dispatches[i] = append(m.dispatches[i], dispatches.WithLabelValues(stage, outcome))
		}
	}
	return m
}

// Watch registers gauges of a planner and an edge.
func (m *Metrics) Watch(p *planner.Planner, e *edge.Edge) {
	gauge := func(name, help string, value func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cherryhub", Name: name, Help: help}, value))
	}
	gauge("mailbox_facts", "Facts that wait for the planner.", func() float64 { return float64(p.Stats().QueuedEvents) })
	gauge("completions_open", "Completions that the planner has open.", func() float64 { return float64(p.Stats().OpenCompletions) })
	gauge("decide_busy_seconds", "Time spent in decide, in all.", func() float64 { return p.Stats().DecideTime.Seconds() })
	gauge("decide_faults", "Panics in decide, in all.", func() float64 { return float64(p.Stats().Panics) })
	gauge("dispatches_running", "Dispatches, probes and releases that run.", func() float64 {
		_, running := e.Active()
		return float64(running)
	})
}

// ObservePlannerDelay records how long an event waited for the planner.
func (m *Metrics) ObservePlannerDelay(seconds float64) { m.plannerDelay.Observe(seconds) }

// CompletionAccepted and the methods below implement edge.Observer.
func (m *Metrics) CompletionAccepted(workload int) { m.accepted[workload].Inc() }

func (m *Metrics) CompletionAnswered(workload int, answer edge.Answer, elapsed time.Duration) {
	m.answered[workload][answer].Inc()
	m.answerTime[workload].Observe(elapsed.Seconds())
}

func (m *Metrics) FirstToken(workload int, elapsed time.Duration) {
	m.ttft[workload].Observe(elapsed.Seconds())
}

func (m *Metrics) DispatchEnded(isRead bool, outcome decide.Outcome, elapsed time.Duration) {
	stage := 0
	if isRead {
		stage = 1
	}
	m.dispatches[stage][outcome].Inc()
	m.dispatchTime[stage].Observe(elapsed.Seconds())
}

func (m *Metrics) Refused(status int)               { m.refused.WithLabelValues(strconv.Itoa(status)).Inc() }
func (m *Metrics) ReleaseStarted(reason string)     { m.releases.WithLabelValues(reason).Inc() }
func (m *Metrics) StateReleased(held time.Duration) { m.holdTime.Observe(held.Seconds()) }

// ProbeHandled and the methods below implement peer.Observer.
func (m *Metrics) ProbeHandled(reason string)     { m.probes.WithLabelValues(reason).Inc() }
func (m *Metrics) DutyTakenOver(cause string)     { m.takeovers.WithLabelValues(cause).Inc() }
func (m *Metrics) ResultReceived(standing string) { m.peerResults.WithLabelValues(standing).Inc() }
func (m *Metrics) DutyLate(seconds float64)       { m.dutyLateness.Observe(seconds) }
