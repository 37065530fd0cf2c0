package settings

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"papayacroft/finding"
)

const (
	defaultColdOverage = 1.5
	defaultColdSlack   = 5
	// maxColdSlack is well above the number of requests that an endpoint takes in a second.
	maxColdSlack = 1e6
)

// Cold bounds the requests to a cold endpoint from all daemons together: in each second its rate times Overage, and Slack more.
type Cold struct {
	Overage OptionalNumber `yaml:"overage"`
	Slack   OptionalNumber `yaml:"slack"`
}

// OptionalNumber is a number that the platform's settings may lack: an empty text, or the placeholder that would have been
// replaced, states none.
type OptionalNumber struct {
	Value  float64
	Stated bool
}

// placeholder begins the text in a template that is replaced with a setting of the platform.
const placeholder = "{{"

// UnmarshalText parses the number.
func (num *OptionalNumber) UnmarshalText(text []byte) error {
	trimmed := strings.TrimSpace(string(text))
	if trimmed == "" || strings.HasPrefix(trimmed, placeholder) {
		*num = OptionalNumber{}
		return nil
	}
	value, err := strconv.ParseFloat(trimmed, 64)
	if err != nil {
		return trace.BadParameter("value %q is no number", trimmed)
	}
	*num = OptionalNumber{Value: value, Stated: true}
	return nil
}

// MarshalText formats the number.
func (num OptionalNumber) MarshalText() ([]byte, error) {
	if !num.Stated {
		return nil, nil
	}
	return strconv.AppendFloat(nil, num.Value, 'g', -1, 64), nil
}

// Allowed describes the values that the field accepts.
func (num *OptionalNumber) Allowed() string {
	return "a number, or an empty text for the default"
}

// Bound returns the overage and the slack, with their defaults where they are not stated.
func (cld Cold) Bound() (overage, slack float64) {
	overage, slack = defaultColdOverage, defaultColdSlack
	if cld.Overage.Stated {
		overage = cld.Overage.Value
	}
	if cld.Slack.Stated {
		slack = cld.Slack.Value
	}
	return overage, slack
}

func (cld Cold) validate(lst *finding.List) {
	overage, slack := cld.Bound()
	// Comparisons with NaN are false.
	if !(overage >= 0 && overage <= maxColdSlack) {
		lst.Add("cold.overage", "value %g is not allowed; 0 to %g is expected", overage, maxColdSlack)
	}
	if !(slack >= 0 && slack <= maxColdSlack) {
		lst.Add("cold.slack", "value %g is not allowed; 0 to %g is expected", slack, maxColdSlack)
	}
}
