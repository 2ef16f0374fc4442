package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"cherryhub/internal/admit"
)

// AdmissionStats is the source of the admission metrics, implemented by door.Listener.
type AdmissionStats interface {
	Stats(top int) (admit.Stats, []admit.Holder)
}

// admissionCollector reads the statistics of admission control at each scrape.
type admissionCollector struct {
	source                                           AdmissionStats
	refused, evicted, accepted, used, max, addresses *prometheus.Desc
}

// WatchAdmission registers the admission metrics of a listener.
func (m *Metrics) WatchAdmission(source AdmissionStats) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("cherryhub_admission_"+name, help, labels, nil)
	}
	m.Registry.MustRegister(&admissionCollector{source,
		desc("refused_total", "Connections, calls and completions refused, by reason.", "reason"),
		desc("ended_total", "Connections without a call that were ended, by reason.", "reason"),
		desc("let_in_total", "Connections let in."),
		desc("used", "Places in use, by room.", "room"),
		desc("most", "Places there are, by room.", "room"),
		desc("addresses", "Addresses not known that hold something.")})
}

// Describe implements prometheus.Collector.
func (c *admissionCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.refused, c.evicted, c.accepted, c.used, c.max, c.addresses} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *admissionCollector) Collect(metrics chan<- prometheus.Metric) {
	stats, _ := c.source.Stats(0)
	for reason := admit.Reason(1); int(reason) < admit.NumReasons; reason++ {
		metrics <- prometheus.MustNewConstMetric(c.refused, prometheus.CounterValue, float64(stats.Refused[reason]), reason.String())
		metrics <- prometheus.MustNewConstMetric(c.evicted, prometheus.CounterValue, float64(stats.Evicted[reason]), reason.String())
	}
	metrics <- prometheus.MustNewConstMetric(c.accepted, prometheus.CounterValue, float64(stats.Accepted))
	for _, pool := range stats.Pools() {
		metrics <- prometheus.MustNewConstMetric(c.used, prometheus.GaugeValue, float64(pool.Used), pool.Name)
		metrics <- prometheus.MustNewConstMetric(c.max, prometheus.GaugeValue, float64(pool.Max), pool.Name)
	}
	metrics <- prometheus.MustNewConstMetric(c.addresses, prometheus.GaugeValue, float64(stats.Addresses))
}
