package engine

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/tidwall/gjson"
)

// Figure is where one figure of a load report is found.
type LoadMetric struct {
	Column     string // its name in decide.Settings.ReportColumns
	ORCA       string // a field of endpoint-load-metrics, such as named_metrics.kv_cache_usage_perc
	Prometheus string // a metric of /metrics
	Sum        bool   // of the metric's label sets; else the greatest
}

// Figures are those of a report, in its order.
type LoadMetrics []LoadMetric

// Columns are their names.
func (f LoadMetrics) Columns() (names []string) {
	for _, one := range f {
		names = append(names, one.Column)
	}
	return names
}

// fromORCA reads an endpoint-load-metrics header in its TEXT or JSON form. What is missing is NaN; a report
// that tells nothing is nil.
func (f LoadMetrics) parseORCA(header string) []float64 {
	format, text, _ := strings.Cut(header, " ")
	var value func(name string) float64
	switch format {
	case "TEXT":
		pairs := map[string]float64{}
		for pair := range strings.SplitSeq(text, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if v, err := strconv.ParseFloat(strings.TrimSpace(number), 64); err == nil {
				pairs[strings.TrimSpace(name)] = v
			}
		}
		value = func(name string) float64 {
			if v, told := pairs[name]; told {
				return v
			}
			return math.NaN()
		}
	case "JSON":
		if !gjson.Valid(text) {
			return nil
		}
		value = func(name string) float64 {
			if v := gjson.Get(text, name); v.Type == gjson.Number {
				return v.Num
			}
			return math.NaN()
		}
	default:
		return nil
	}
	return f.report(func(one LoadMetric) float64 { return value(one.ORCA) })
}

// fromPrometheus reads figures from the text format of /metrics.
func (f LoadMetrics) parsePrometheus(text []byte) ([]float64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return f.report(func(one LoadMetric) float64 {
		family := families[one.Prometheus]
		if family == nil {
			return math.NaN()
		}
		total := 0.0
		for _, m := range family.Metric {
			v := m.GetGauge().GetValue() + m.GetUntyped().GetValue() + m.GetCounter().GetValue()
			if one.Sum {
				total += v
			} else {
				total = math.Max(total, v)
			}
		}
		return total
	}), nil
}

func (f LoadMetrics) report(value func(LoadMetric) float64) []float64 {
	report, told := make([]float64, len(f)), false
	for i, one := range f {
		v := value(one)
		if math.IsInf(v, 0) || v < 0 {
			v = math.NaN()
		}
		report[i] = v
		told = told || !math.IsNaN(v)
	}
	if !told {
		return nil
	}
	return report
}
