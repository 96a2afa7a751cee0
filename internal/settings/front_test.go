package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/platform/platformtest"
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

// Guards against a deployment template that sets an unknown key, or that can't be parsed on a
// deployment that lacks some bounds: it must hold only placeholders that all deployments fill in.
func TestDeploymentTemplateParses(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := platformtest.Deployment{
		Name: "f1", Domain: "z", Callers: "10.0.0.1:80", Ready: "10.0.0.1:81", Mesh: "10.0.0.1:82", Metrics: "10.0.0.1:83",
		Store: "10.0.0.9:83", Seeds: []string{"10.0.0.2:82"},
	}.Fill(string(template))
	if at := strings.Index(text, "{{"); at >= 0 {
		t.Fatalf("a deployment without all optional values leaves %.40q", text[at:])
	}
	s, err := ParseFront("settings.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance.Name != "f1" || s.Listen.Mesh != "10.0.0.1:82" || s.Machine.Memory.Bytes != 284<<20 || s.Bounds.RetrySlack != 54 ||
		s.Bounds.Configuration.Duration != 2*time.Second || s.Pace.Enabled {
		t.Errorf("settings %+v", s)
	}
	plain, err := s.Override(Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, plain); diff != "" {
		t.Errorf("empty overrides change settings (-without +with):\n%s", diff)
	}
	all, err := s.Override(Overrides{Regions: `{"z": "r"}`, LinkMbps: "10.0", EvacuationMs: "5000", ColdRatio: "1.5", ColdSlack: "5"})
	if err != nil {
		t.Fatal(err)
	}
	if all.Instance.Regions["z"] != "r" || all.Machine.LinkMbps != 10 || all.Bounds.Evacuation.Duration != 5*time.Second ||
		all.Bounds.ColdRatio != 1.5 || all.Bounds.ColdSlack != 5 || !all.Pace.Enabled {
		t.Errorf("settings with all overrides %+v", all)
	}
}

// Guards against an override that is ignored because it can't be read, such as a placeholder that was not
// filled in.
func TestOverridesAreChecked(t *testing.T) {
	s, err := ParseFront("f.toml", []byte(minimalFront))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		o    Overrides
		want string
	}{
		{"placeholder for regions", Overrides{Regions: "{{zones}}"}, `override of instance.regions: "{{zones}}"`},
		{"regions that are no texts", Overrides{Regions: `{"z": 1}`}, "override of instance.regions"},
		{"placeholder for a number", Overrides{LinkMbps: "{{limits.link_mbps}}"}, `override of machine.link_mbps: "{{limits.link_mbps}}"`},
		{"no number", Overrides{LinkMbps: "NaN"}, "machine.link_mbps must be a number that is not negative"},
		{"negative number", Overrides{ColdSlack: "-1"}, "bounds.cold_slack must be"},
		{"no ratio", Overrides{ColdRatio: "many"}, "override of bounds.cold_ratio"},
		{"placeholder for a time", Overrides{EvacuationMs: "{{bounds.evacuation_ms}}"}, `override of bounds.evacuation: "{{bounds.evacuation_ms}}"`},
		{"no time", Overrides{EvacuationMs: "0"}, "override of bounds.evacuation"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := s.Override(c.o); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}
