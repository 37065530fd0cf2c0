// Package finding collects problems in operators' files with the location of each.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Severity classifies findings of checks that report more than errors.
type Severity string

// The severities; a finding without one is an error.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	// SeverityChange is for a difference from the version in force.
	SeverityChange Severity = "change"
)

// Finding is one problem in a file that an operator wrote.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
	// Severity is empty in checks that report errors only.
	Severity Severity `json:"severity,omitempty"`
}

// String formats the finding as file:line:column: severity: path: message.
func (fnd Finding) String() string {
	var sb strings.Builder
	if fnd.File != "" {
		fmt.Fprintf(&sb, "%s:%d:%d: ", fnd.File, fnd.Line, fnd.Column)
	}
	if fnd.Severity != "" {
		fmt.Fprintf(&sb, "%s: ", fnd.Severity)
	}
	if fnd.Path != "" {
		fmt.Fprintf(&sb, "%s: ", fnd.Path)
	}
	sb.WriteString(fnd.Message)
	return sb.String()
}

// List holds findings that are reported together.
type List []Finding

// Add appends a finding with a path; document.Document.Locate fills in its file, line and column.
func (lst *List) Add(path, format string, args ...any) {
	*lst = append(*lst, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by file, line and column.
func (lst List) Sort() {
	sort.SliceStable(lst, func(i, j int) bool {
		if lst[i].File != lst[j].File {
			return lst[i].File < lst[j].File
		}
		if lst[i].Line != lst[j].Line {
			return lst[i].Line < lst[j].Line
		}
		return lst[i].Column < lst[j].Column
	})
}

// Err returns the list as an error, or nil if it is empty.
func (lst List) Err() error {
	if len(lst) == 0 {
		return nil
	}
	return &Error{Findings: lst}
}

// Error is an error that consists of all findings of one check.
type Error struct {
	Findings List
}

// Error returns the findings, one on each line.
func (err *Error) Error() string {
	lines := make([]string, 0, len(err.Findings))
	for _, fnd := range err.Findings {
		lines = append(lines, fnd.String())
	}
	return strings.Join(lines, "\n")
}
