package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"cherryhub/internal/admit"
)

// Door is what is asked of a door.
type AdmissionStats interface {
	Stats(top int) (admit.Stats, []admit.Holder)
}

// doorFigures collects a door's figures when they are asked for.
type admissionCollector struct {
	source                                           AdmissionStats
	refused, evicted, accepted, used, max, addresses *prometheus.Desc
}

// WatchDoor adds the figures of a door.
func (m *Metrics) WatchAdmission(d AdmissionStats) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("cherryhub_admission_"+name, help, labels, nil)
	}
	m.Registry.MustRegister(&admissionCollector{d,
		desc("refused_total", "Connections, calls and completions refused, by reason.", "reason"),
		desc("ended_total", "Connections without a call that were ended, by reason.", "reason"),
		desc("let_in_total", "Connections let in."),
		desc("used", "Places in use, by room.", "room"),
		desc("most", "Places there are, by room.", "room"),
		desc("addresses", "Addresses not known that hold something.")})
}

// Describe is of prometheus.Collector.
func (d *admissionCollector) Describe(to chan<- *prometheus.Desc) {
	for _, one := range []*prometheus.Desc{d.refused, d.evicted, d.accepted, d.used, d.max, d.addresses} {
		to <- one
	}
}

// Collect is of prometheus.Collector.
func (d *admissionCollector) Collect(to chan<- prometheus.Metric) {
	f, _ := d.source.Stats(0)
	for r := admit.Reason(1); int(r) < admit.NumReasons; r++ {
		to <- prometheus.MustNewConstMetric(d.refused, prometheus.CounterValue, float64(f.Refused[r]), r.String())
		to <- prometheus.MustNewConstMetric(d.evicted, prometheus.CounterValue, float64(f.Evicted[r]), r.String())
	}
	to <- prometheus.MustNewConstMetric(d.accepted, prometheus.CounterValue, float64(f.Accepted))
	for _, room := range f.Pools() {
		to <- prometheus.MustNewConstMetric(d.used, prometheus.GaugeValue, float64(room.Used), room.Name)
		to <- prometheus.MustNewConstMetric(d.max, prometheus.GaugeValue, float64(room.Max), room.Name)
	}
	to <- prometheus.MustNewConstMetric(d.addresses, prometheus.GaugeValue, float64(f.Addresses))
}
