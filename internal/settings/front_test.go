package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const minimalFront = "[instance]\nname = \"f1\"\n"

// Guards against invalid settings of an entry daemon that are accepted or ignored.
func TestParseFrontRefuses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", minimalFront + "[listen]\ncalers = \"\"", `did you mean "callers"?`},
		{"no name", "", "instance.name is not set"},
		{"no failure domain", minimalFront + "failure_domain = \"\"", "instance.failure_domain is not set"},
		{"bad address", minimalFront + "[store]\naddress = \"store\"", `store.address: "store" is not IP:port`},
		{"bad metrics address", minimalFront + "[listen]\nmetrics = \"9100\"", "listen.metrics"},
		{"bad memory", minimalFront + "[machine]\nmemory = \"284\"", "is not a size"},
		{"bad bandwidth", minimalFront + "[machine]\nlink_mbps = inf", "machine.link_mbps"},
		{"bad ratio of cold endpoints", minimalFront + "[bounds]\ncold_ratio = nan", "bounds.cold_ratio"},
		{"negative slack of cold endpoints", minimalFront + "[bounds]\ncold_slack = -1.0", "bounds.cold_slack"},
		{"bad window", minimalFront + "[bounds]\nretry_window = \"0s\"", "not above zero"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseFront("f.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}

// Guards against formatted settings that cannot be parsed back.
func TestFrontRoundTrip(t *testing.T) {
	want := DefaultFront()
	want.Instance.Name = "f1"
	text, err := want.Format()
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseFront("f.toml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// templateSection is a section of the template that is rendered if its name has a value.
var templateSection = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// renderSections renders the sections of the names with values and removes the others.
func renderSections(text string, values map[string]string) string {
	return templateSection.ReplaceAllStringFunc(text, func(section string) string {
		m := templateSection.FindStringSubmatch(section)
		value, ok := values[m[1]]
		if !ok {
			return ""
		}
		return strings.NewReplacer("{{@}}", "z", "{{.|json}}", value, "{{.}}", value).Replace(m[2])
	})
}

// Guards against a deployment template that sets an unknown key, or that can't be parsed on a
// deployment that lacks some bounds.
func TestDeploymentTemplateParses(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	values := strings.NewReplacer(
		"{{node_name|json}}", `"f1"`, "{{zone|json}}", `"z"`, "{{region|json}}", `"r"`, "{{bootstrap}}", "true",
		"{{listen.front|json}}", `"10.0.0.1:80"`, "{{listen.ready|json}}", `"10.0.0.1:81"`, "{{listen.control|json}}", `"10.0.0.1:82"`,
		"{{seeds|json}}", `["10.0.0.2:82"]`, "{{ip}}", "10.0.0.1", "{{internal_ports.0}}", "83", "{{platform.address|json}}", `"10.0.0.9:83"`, "{{limits.memory_mb}}", "284",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "54", "{{bounds.retry_window_s}}", "10", "{{bounds.grace_s}}", "8", "{{bounds.config_ms}}", "2000", "{{bounds.drain_ms}}", "2000",
	)
	rendered := values.Replace(string(text))
	s, err := ParseFront("settings.toml", []byte(renderSections(rendered, nil)))
	if err != nil {
		t.Fatal(err)
	}
	all, err := ParseFront("settings.toml", []byte(renderSections(rendered, map[string]string{
		"zones": `"r"`, "limits.link_mbps": "10.0", "bounds.evacuation_ms": "5000", "bounds.cold_over": "1.5", "bounds.cold_slack": "5",
	})))
	if err != nil {
		t.Fatal(err)
	}
	if all.Instance.Regions["z"] != "r" || all.Machine.LinkMbps != 10 || all.Bounds.Evacuation.Duration != 5*time.Second ||
		all.Bounds.ColdRatio != 1.5 || all.Bounds.ColdSlack != 5 || !all.Pace.Enabled || s.Pace.Enabled {
		t.Errorf("settings with all sections %+v", all)
	}
	if s.Instance.Name != "f1" || s.Listen.Mesh != "10.0.0.1:82" || s.Machine.Memory.Bytes != 284<<20 || s.Bounds.RetrySlack != 54 ||
		s.Bounds.Configuration.Duration != 2*time.Second {
		t.Errorf("settings %+v", s)
	}
}
