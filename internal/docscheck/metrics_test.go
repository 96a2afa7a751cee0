package docscheck

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.yaml.in/yaml/v4"

	"github.com/azurehatch/azurehatch/internal/problem"
)

// metric is the type and the labels of a metric, without commonLabels.
type metric struct {
	kind   string
	labels []string
}

const metricPrefix = "azurehatch_"

// commonLabels are the labels of every metric. The page does not list them per
// metric.
var commonLabels = []string{"instance", "domain"}

// scrapeMetrics returns the metrics that the daemons of the fleet expose, by name.
func (e *env) scrapeMetrics(t *testing.T) map[string]metric {
	t.Helper()
	found := make(map[string]metric)
	for _, d := range e.fleet.Daemons {
		resp, err := http.Get("http://" + d.AdminAddr() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		families, err := parseMetrics(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for name, f := range families {
			if strings.HasPrefix(name, metricPrefix) {
				found[name] = describeFamily(f)
			}
		}
	}
	return found
}

func parseMetrics(r io.Reader) (map[string]*dto.MetricFamily, error) {
	p := expfmt.NewTextParser(model.LegacyValidation)
	return p.TextToMetricFamilies(r)
}

func describeFamily(f *dto.MetricFamily) metric {
	m := metric{kind: strings.ToLower(f.GetType().String())}
	for _, l := range f.GetMetric()[0].GetLabel() {
		if !slices.Contains(commonLabels, l.GetName()) {
			m.labels = append(m.labels, l.GetName())
		}
	}
	sort.Strings(m.labels)
	return m
}

var (
	metricRow  = regexp.MustCompile("(?m)^\\| `(azurehatch_[a-z_]+)` \\| (\\w+) \\|([^|]*)\\| .*\\|$")
	metricName = regexp.MustCompile(`\bazurehatch_[a-z_]+`)
	alertRow   = regexp.MustCompile("(?m)^\\| `([A-Z]\\w+)` \\| ")
	typeMatch  = regexp.MustCompile(`\btype=~?"([^"]*)"`)
	byLabels   = regexp.MustCompile(`\bby \(([^)]*)\)`)
)

// checkMetricsPage compares the tables of the page with the exposed metrics, and
// checks the metric names in the rest of the text.
func checkMetricsPage(page string, exposed map[string]metric) (faults []string) {
	rows := make(map[string]bool)
	for _, m := range metricRow.FindAllStringSubmatch(page, -1) {
		rows[m[1]] = true
		labels := strings.FieldsFunc(m[3], func(r rune) bool { return strings.ContainsRune("`, ", r) })
		sort.Strings(labels)
		got, ok := exposed[m[1]]
		if !ok {
			faults = append(faults, m[1]+" does not exist")
		} else if got.kind != m[2] || !slices.Equal(got.labels, labels) {
			faults = append(faults, fmt.Sprintf("%s is a %s with labels %v, the page says %s %v",
				m[1], got.kind, got.labels, m[2], labels))
		}
	}
	for name := range exposed {
		if !rows[name] {
			faults = append(faults, name+" has no row on the page")
		}
	}
	return append(faults, unknownMetrics(page, exposed)...)
}

// unknownMetrics returns a fault for each metric name in the text that is not
// exposed.
func unknownMetrics(text string, exposed map[string]metric) (faults []string) {
	for _, name := range metricName.FindAllString(text, -1) {
		base := name
		for _, suffix := range []string{"_bucket", "_count", "_sum"} {
			if cut, ok := strings.CutSuffix(name, suffix); ok && exposed[cut].kind == "histogram" {
				base = cut
			}
		}
		if _, ok := exposed[base]; !ok {
			faults = append(faults, name+" does not exist")
		}
	}
	return faults
}

// ruleFile is a Prometheus rule file.
type ruleFile struct {
	Groups []struct {
		Name  string `yaml:"name"`
		Rules []struct {
			Alert       string            `yaml:"alert"`
			Expr        string            `yaml:"expr"`
			For         string            `yaml:"for"`
			Labels      map[string]string `yaml:"labels"`
			Annotations map[string]string `yaml:"annotations"`
		} `yaml:"rules"`
	} `yaml:"groups"`
}

// checkAlerts checks that the rules use existing metrics, labels and problem types,
// and that the page lists the same alerts.
func checkAlerts(file, page string, exposed map[string]metric, types []problem.Kind) (faults []string) {
	var r ruleFile
	dec := yaml.NewDecoder(strings.NewReader(file))
	dec.KnownFields(true)
	if err := dec.Decode(&r); err != nil {
		return []string{err.Error()}
	}
	onPage := make(map[string]bool)
	for _, m := range alertRow.FindAllStringSubmatch(page, -1) {
		onPage[m[1]] = true
	}
	for _, g := range r.Groups {
		for _, a := range g.Rules {
			if !onPage[a.Alert] {
				faults = append(faults, "alert "+a.Alert+" is not on the page")
			}
			delete(onPage, a.Alert)
			if a.Annotations["summary"] == "" || a.Labels["severity"] == "" || !metricName.MatchString(a.Expr) {
				faults = append(faults, "alert "+a.Alert+" lacks a summary, a severity or a metric")
			}
			if a.For != "" {
				if _, err := model.ParseDuration(a.For); err != nil {
					faults = append(faults, a.Alert+": "+err.Error())
				}
			}
			for _, f := range checkExpr(a.Expr, exposed, types) {
				faults = append(faults, a.Alert+": "+f)
			}
		}
	}
	for name := range onPage {
		faults = append(faults, "alert "+name+" is not in the rule file")
	}
	return faults
}

func checkExpr(expr string, exposed map[string]metric, types []problem.Kind) []string {
	faults := unknownMetrics(expr, exposed)
	if strings.Count(expr, "(") != strings.Count(expr, ")") {
		faults = append(faults, "parentheses are not balanced")
	}
	for _, m := range typeMatch.FindAllStringSubmatch(expr, -1) {
		for name := range strings.SplitSeq(m[1], "|") {
			if !slices.Contains(types, problem.Kind(strings.ReplaceAll(name, "_", "-"))) {
				faults = append(faults, fmt.Sprintf("type %q does not exist", name))
			}
		}
	}
	known := append([]string{"le"}, commonLabels...)
	for _, name := range metricName.FindAllString(expr, -1) {
		known = append(known, exposed[name].labels...)
		known = append(known, exposed[strings.TrimSuffix(name, "_count")].labels...)
	}
	for _, m := range byLabels.FindAllStringSubmatch(expr, -1) {
		for label := range strings.SplitSeq(m[1], ",") {
			if !slices.Contains(known, strings.TrimSpace(label)) {
				faults = append(faults, fmt.Sprintf("label %q does not exist", label))
			}
		}
	}
	return faults
}

// trafficCommands sends requests, because some counters are exposed only after the
// first request.
const trafficCommands = `
body='"messages":[{"role":"user","content":"plan words:3"}]'
curl -sS -f "$DAEMON/v1/chat/completions" -H "Authorization: Bearer $KEY" -d '{"model":"tray-planner",'"$body}"
curl -sS -f "$DAEMON/v1/chat/completions" -H "Authorization: Bearer $KEY" -d '{"model":"tray-planner","stream":true,'"$body}"
curl -sS "$DAEMON/v1/models" -H "Authorization: Bearer wrong"
`

// Guards against documented metrics and alerts that do not exist, against metrics
// that are not documented, and against checks that accept wrong pages.
func TestMetrics(t *testing.T) {
	e := newEnv(t, "maracas")
	if out, err := e.runShell(trafficCommands); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	page, alerts, types := readFile(t, "docs", "metrics.md"), readFile(t, "examples", "alerts.yaml"), problemKinds(t)
	checkAll := func() (map[string]metric, []string) {
		exposed := e.scrapeMetrics(t)
		faults := checkMetricsPage(page, exposed)
		for _, name := range pages {
			faults = append(faults, unknownMetrics(readFile(t, "docs", name), exposed)...)
		}
		return exposed, append(faults, checkAlerts(alerts, page, exposed, types)...)
	}
	exposed, faults := checkAll()
	// Daemons share values once a second, so some metrics may not be exposed yet.
	for range 10 {
		if len(faults) == 0 {
			break
		}
		time.Sleep(time.Second)
		exposed, faults = checkAll()
	}
	for _, f := range faults {
		t.Error(f)
	}
	for name, change := range map[string][2]string{
		"name":   {"`azurehatch_ready`", "`azurehatch_readiness`"},
		"type":   {"`azurehatch_ready` | gauge", "`azurehatch_ready` | counter"},
		"labels": {"`azurehatch_store_calls` | counter | `call`", "`azurehatch_store_calls` | counter | `name`"},
		"prose":  {"# Metrics\n", "# Metrics\n\nRead azurehatch_wishes.\n"},
		"no row": {"| `azurehatch_hedges` | counter", "| hedges | counter"},
	} {
		if broken := strings.Replace(page, change[0], change[1], 1); broken == page ||
			len(checkMetricsPage(broken, exposed)) == 0 {
			t.Errorf("page with a wrong %s was accepted", name)
		}
	}
	for name, change := range map[string][2]string{
		"metric":  {"azurehatch_ready", "azurehatch_readiness"},
		"type":    {"budget_unavailable", "budget_missing"},
		"label":   {"by (service)", "by (account)"},
		"paren":   {"max(azurehatch_configuration_revision)", "max(azurehatch_configuration_revision"},
		"alert":   {"alert: NotReady", "alert: Unready"},
		"key":     {"expr: azurehatch_ready", "expression: azurehatch_ready"},
		"for":     {"for: 5m", "for: soon"},
		"summary": {"summary: A daemon", "text: A daemon"},
	} {
		if broken := strings.Replace(alerts, change[0], change[1], 1); broken == alerts ||
			len(checkAlerts(broken, page, exposed, types)) == 0 {
			t.Errorf("alerts with a wrong %s were accepted", name)
		}
	}
}
