package settings

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/unit"
)

// Overrides holds, as text, the settings of an entry daemon that only some deployments have. A template
// for all deployments can't hold them, since a key without a value is no TOML. Each one that is not empty
// replaces the value of the settings file.
type Overrides struct {
	// Regions is a JSON object with the region of each failure domain.
	Regions string
	// LinkMbps is the bandwidth of the machine's link in Mbit/s.
	LinkMbps string
	// EvacuationMs is bounds.evacuation in milliseconds.
	EvacuationMs string
	// ColdRatio is bounds.cold_ratio. It also enables pace: a deployment that bounds the requests to
	// cold endpoints has endpoints that come back slowly.
	ColdRatio string
	// ColdSlack is bounds.cold_slack.
	ColdSlack string
}

// Override returns the settings with the overrides applied.
func (s Front) Override(o Overrides) (Front, error) {
	if o.Regions != "" {
		regions := make(map[string]string)
		if err := json.Unmarshal([]byte(o.Regions), &regions); err != nil {
			return Front{}, errors.Errorf("override of instance.regions: %q is not a JSON object of texts: %v", o.Regions, err)
		}
		s.Instance.Regions = regions
	}
	if o.EvacuationMs != "" {
		var evacuation unit.Duration
		if err := evacuation.UnmarshalText([]byte(o.EvacuationMs + "ms")); err != nil {
			return Front{}, errors.Errorf("override of bounds.evacuation: %q is not a number of milliseconds above 0", o.EvacuationMs)
		}
		s.Bounds.Evacuation = evacuation
	}
	for _, number := range []struct {
		name, text string
		to         *float64
	}{
		{"machine.link_mbps", o.LinkMbps, &s.Machine.LinkMbps}, {"bounds.cold_ratio", o.ColdRatio, &s.Bounds.ColdRatio},
		{"bounds.cold_slack", o.ColdSlack, &s.Bounds.ColdSlack},
	} {
		if number.text == "" {
			continue
		}
		value, err := strconv.ParseFloat(number.text, 64)
		if err != nil {
			return Front{}, errors.Errorf("override of %s: %q is not a number", number.name, number.text)
		}
		*number.to = value
	}
	s.Pace.Enabled = s.Pace.Enabled || o.ColdRatio != ""
	return s, errors.Wrap(s.validate(), "settings with overrides")
}
