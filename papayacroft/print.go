package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// print writes a value as JSON, or calls text to write it, depending on the flag --output.
func (opt *options) print(wri io.Writer, value any, text func(wri io.Writer)) error {
	if opt.output == "json" {
		enc := json.NewEncoder(wri)
		enc.SetIndent("", "  ")
		return trace.Wrap(enc.Encode(value))
	}
	text(wri)
	return nil
}

func printf(wri io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(wri, format, args...)
}
