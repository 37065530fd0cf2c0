package admission

// The sizes of a window, which limits the calls that one daemon has in flight at a service pool.
const (
	startWindow = 64
	minWindow   = 1
	// maxWindow prevents one daemon from flooding a pool that reports no queue.
	maxWindow = 256
	// windowCut is the factor by which a window shrinks when a call ends while calls queue at the endpoint.
	windowCut = 0.97
)

// Window limits the calls that this daemon has in flight at a service pool, so that they don't queue at its endpoints.
// The limit shrinks by a factor while calls queue and otherwise grows by about one for each full window of calls.
type Window struct {
	limit    float64
	inFlight int
}

// NewWindow returns a window of the start size without calls in flight.
func NewWindow() *Window {
	return &Window{limit: startWindow}
}

// Open reports whether another call may be sent.
func (win *Window) Open() bool {
	return win.inFlight < int(win.limit)
}

// Sent counts a call that is sent.
func (win *Window) Sent() {
	win.inFlight++
}

// Finished counts the end of a call and adapts the limit; queueing is true if the endpoint reports more waiting than
// running calls.
func (win *Window) Finished(queueing bool) {
	full := win.inFlight >= int(win.limit)
	win.inFlight--
	switch {
	case queueing:
		win.limit = max(minWindow, win.limit*windowCut)
	case full:
		win.limit = min(maxWindow, win.limit+1/win.limit)
	}
}
