package logline

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// stepsPerSecond sets the precision of logged durations: they are rounded to 1/stepsPerSecond of a second.
const stepsPerSecond = 10000

// Formatter formats log entries as JSON lines. It adds the daemon's name and writes durations in seconds.
type Formatter struct {
	Daemon string

	json logrus.JSONFormatter
}

// NewFormatter returns a formatter for the lines of a daemon.
func NewFormatter(daemon string) *Formatter {
	return &Formatter{Daemon: daemon, json: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}}
}

// Format formats one line.
func (fmr *Formatter) Format(ent *logrus.Entry) ([]byte, error) {
	copied := *ent
	copied.Data = make(logrus.Fields, len(ent.Data)+1)
	for name, value := range ent.Data {
		if dur, ok := value.(time.Duration); ok {
			value = math.Round(dur.Seconds()*stepsPerSecond) / stepsPerSecond
		}
		copied.Data[name] = value
	}
	copied.Data["daemon"] = fmr.Daemon
	return fmr.json.Format(&copied)
}
