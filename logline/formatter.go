package logline

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// resolution is the number of parts of a second to which durations are rounded.
const resolution = 10000

// Formatter writes JSON lines that name the daemon, with durations in seconds.
type Formatter struct {
	Daemon string

	json logrus.JSONFormatter
}

// NewFormatter returns a formatter for the lines of a daemon.
func NewFormatter(daemon string) *Formatter {
	return &Formatter{Daemon: daemon, json: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}}
}

// Format writes one line.
func (fmr *Formatter) Format(ent *logrus.Entry) ([]byte, error) {
	copied := *ent
	copied.Data = make(logrus.Fields, len(ent.Data)+1)
	for name, value := range ent.Data {
		if dur, ok := value.(time.Duration); ok {
			value = math.Round(dur.Seconds()*resolution) / resolution
		}
		copied.Data[name] = value
	}
	copied.Data["daemon"] = fmr.Daemon
	return fmr.json.Format(&copied)
}
