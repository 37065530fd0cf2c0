package document

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a duration that is written with a unit, such as 250ms or 1h.
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (dur *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.BadParameter("duration %q has no valid number and unit", text)
	}
	*dur = Duration(parsed)
	return nil
}

// MarshalText formats the duration with its unit.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// Allowed describes the values that a duration field accepts.
func (dur *Duration) Allowed() string {
	return "a duration with its unit, such as 250ms, 10s or 1h"
}
