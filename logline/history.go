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

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	Fields  map[string]any
}

// Read returns the lines of a log for which keep returns true. It ignores text before the JSON object of a line, and
// lines without one.
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

// History returns the lines about a request in order of time. From the daemons that served the request and the time in
// which they did, it adds the lines about the endpoints to which the request was sent and the lines with daemonMessages.
func History(lines []Line, request string) []Line {
	var requestLines []Line
	endpoints, daemons := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Fields["request"] != request {
			continue
		}
		requestLines = append(requestLines, line)
		daemons[line.Daemon] = true
		for _, name := range []string{"endpoint", "from", "to"} {
			if id, ok := line.Fields[name].(string); ok {
				endpoints[id] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	sortLines(requestLines)
	first, last := requestLines[0].At.Add(-historyMargin), requestLines[len(requestLines)-1].At.Add(historyMargin)
	history := requestLines
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

// historyMargin is the time before the first and after the last line about a request from which History adds lines.
const historyMargin = 2 * time.Second

// daemonMessages are the messages about a daemon itself that may explain the outcome of its requests.
var daemonMessages = []string{
	"draining", "gateway started", "gateway stopped", "store lost", "store regained", "settings reloaded", "configuration in force",
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// omittedFields are the fields that Print doesn't list by name: a line begins with some of them, and the others are the
// same for all lines of a request or of no interest.
var omittedFields = []string{"msg", "time", "daemon", "level", "request"}

// Print writes lines in a readable form: the time, the daemon, the message, and the other fields sorted by name.
func Print(out io.Writer, lines []Line) {
	for _, line := range lines {
		var fields []string
		for name, value := range line.Fields {
			if !slices.Contains(omittedFields, name) && value != "" {
				fields = append(fields, fmt.Sprintf("%s=%v", name, value))
			}
		}
		sort.Strings(fields)
		fmt.Fprintf(out, "%s %s %s: %s\n", line.At.Format("15:04:05.000"), line.Daemon, line.Message, strings.Join(fields, " "))
	}
}
