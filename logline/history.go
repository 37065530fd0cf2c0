package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log that is read.
const maxLineBytes = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	Fields  map[string]any
}

// Read returns the lines of a log that pass a filter. Text before the JSON of a line is passed over, and so are
// lines without JSON.
func Read(log io.Reader, keep func(line *Line) bool) ([]Line, error) {
	var lines []Line
	scn := bufio.NewScanner(log)
	scn.Buffer(nil, maxLineBytes)
	for scn.Scan() {
		start := bytes.IndexByte(scn.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(scn.Bytes()[start:]); ok && keep(&line) {
			lines = append(lines, line)
		}
	}
	return lines, scn.Err()
}

func parse(data []byte) (Line, bool) {
	line := Line{}
	if err := json.Unmarshal(data, &line.Fields); err != nil {
		return line, false
	}
	line.Message, _ = line.Fields["msg"].(string)
	line.Daemon, _ = line.Fields["daemon"].(string)
	text, _ := line.Fields["time"].(string)
	line.At, _ = time.Parse(time.RFC3339Nano, text)
	return line, line.Message != ""
}

// History returns the lines about a request and, for the time in which it was served, those about the endpoints that
// it was sent to and about the dependencies of its daemons, in order.
func History(lines []Line, request string) []Line {
	var own []Line
	endpoints, daemons := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Fields["request"] != request {
			continue
		}
		own = append(own, line)
		daemons[line.Daemon] = true
		for _, name := range []string{"endpoint", "from", "to"} {
			if id, ok := line.Fields[name].(string); ok {
				endpoints[id] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortLines(own)
	first, last := own[0].At.Add(-historyMargin), own[len(own)-1].At.Add(historyMargin)
	history := own
	for _, line := range lines {
		if _, about := line.Fields["request"]; about || !daemons[line.Daemon] || line.At.Before(first) || line.At.After(last) {
			continue
		}
		id, named := line.Fields["endpoint"].(string)
		if named && endpoints[id] || slices.Contains(daemonMessages, line.Message) {
			history = append(history, line)
		}
	}
	sortLines(history)
	return history
}

// historyMargin is the time before and after a request in which what happened around it is shown.
const historyMargin = 2 * time.Second

// daemonMessages are lines about a daemon itself that may explain what became of its requests.
var daemonMessages = []string{
	"draining", "gateway started", "gateway stopped", "store lost", "store regained", "settings reloaded", "configuration in force",
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// shownElsewhere are the fields that a printed line shows in another way or that its request has in common.
var shownElsewhere = []string{"msg", "time", "daemon", "level", "request"}

// Print writes lines for people: the time, the daemon, the message, and the other fields by name.
func Print(out io.Writer, lines []Line) {
	for _, line := range lines {
		var fields []string
		for name, value := range line.Fields {
			if !slices.Contains(shownElsewhere, name) && value != "" {
				fields = append(fields, fmt.Sprintf("%s=%v", name, value))
			}
		}
		sort.Strings(fields)
		fmt.Fprintf(out, "%s %s %s: %s\n", line.At.Format("15:04:05.000"), line.Daemon, line.Message, strings.Join(fields, " "))
	}
}
