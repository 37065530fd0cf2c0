package gateway

import (
	"net/http"
	"testing"
)

// The end of a stream without a length or chunks must not count as complete if a move has stopped its generation, and
// must not be repeated at another engine if the generation had ended by itself.
func TestEndOfMovedStream(t *testing.T) {
	for _, cse := range []struct {
		name                    string
		framed, stopping, ended bool
		want                    bool
	}{
		{name: "unframed, not moved"},
		{name: "unframed, stopped", stopping: true, want: true},
		{name: "unframed, ended before the final copy", stopping: true, ended: true},
		{name: "framed, stopped", framed: true, stopping: true},
	} {
		res := newAnswer("", cse.framed, http.NoBody)
		one := &run{link: &Link{Response: res}, stopping: cse.stopping, ended: cse.ended}
		if got := one.wasStopped(t.Context()); got != cse.want {
			t.Errorf("%s: got stopped %t, want %t", cse.name, got, cse.want)
		}
	}
}
