package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/standin"
)

const (
	// drainNotice is the time that a daemon has between SIGTERM and its end (graceS on the users' sites).
	drainNotice = 8 * time.Second
	// Streams that were sent later than lateTime after SIGTERM must not be broken off, earlier ones only in the lastPart of
	// drainNotice (3 s and a sixth of graceS on the users' sites).
	lateTime         = 3 * time.Second
	lastPart         = drainNotice / 6
	settingsTemplate = `name: %s
failureDomain: %s
callerAddress: %s
readyAddress: %s
peerAddress: %s
metricsAddress: %s
storeAddress: %s
drainNotice: %s
retries: {ratio: 0.2, extra: 50, window: 10s}
log: {level: info, format: json}
`
)

// daemon is one gateway process, which faults end and start again.
type daemon struct {
	name, program, settings, log string
	caller, metrics              string
	store                        *proxy
	// replacing is held while a fault ends the process and starts it again.
	replacing sync.Mutex

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// stopExpected is true once the soak has sent the process a signal that ends it.
	stopExpected bool
	// stops are the times of the planned stops.
	stops []time.Time
	// starts are the times at which the process was started; disturbed are the times of the faults that hit it.
	starts    []time.Time
	disturbed []span
	findings  []string
}

// span is a period in which a fault, or its after-effect, was active.
type span struct {
	from, to time.Time
}

func newDaemon(dir, program, name, domain, store string) (*daemon, error) {
	prx, err := newProxy(store)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	addresses, err := standin.FreeAddresses(4)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	dmn := &daemon{
		name: name, program: program, settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
		caller: addresses[0], metrics: addresses[3], store: prx,
	}
	text := fmt.Sprintf(settingsTemplate, name, domain, addresses[0], addresses[1], addresses[2], addresses[3], prx.address(), drainNotice)
	if err := os.WriteFile(dmn.settings, []byte(text), 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return dmn, dmn.start()
}

// start starts the process; if it exits although the soak did not end it, that is a finding.
func (dmn *daemon) start() error {
	out, err := os.OpenFile(dmn.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	cmd := exec.Command(dmn.program, "gateway", "--settings", dmn.settings) //nolint:gosec // the program is the soak's own argument
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	ended := make(chan struct{})
	dmn.mutex.Lock()
	dmn.cmd, dmn.ended, dmn.stopExpected = cmd, ended, false
	dmn.starts = append(dmn.starts, time.Now())
	dmn.mutex.Unlock()
	go func() {
		err := cmd.Wait()
		dmn.mutex.Lock()
		if !dmn.stopExpected {
			dmn.findings = append(dmn.findings, fmt.Sprintf("%s process exited unexpectedly: %v; %s", dmn.name, err, dmn.lastLines()))
		}
		dmn.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// lastLines returns the last five lines of the log.
func (dmn *daemon) lastLines() string {
	data, err := os.ReadFile(dmn.log)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte(" | ")))
}

// signal sends a signal to the daemon's process by its id.
func (dmn *daemon) signal(sig syscall.Signal) {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		dmn.stopExpected = true
	}
	if sig == syscall.SIGTERM {
		dmn.stops = append(dmn.stops, time.Now())
	}
	// Signalling fails for a process that has just ended; the next start replaces that process anyway.
	_ = dmn.cmd.Process.Signal(sig)
}

// stop sends a signal that ends the process and waits for its end. It kills the process after drainNotice.
func (dmn *daemon) stop(sig syscall.Signal) {
	dmn.mutex.Lock()
	ended := dmn.ended
	dmn.mutex.Unlock()
	dmn.signal(sig)
	select {
	case <-ended:
	case <-time.After(drainNotice):
		dmn.signal(syscall.SIGCONT)
		dmn.signal(syscall.SIGKILL)
		<-ended
	}
}

func (dmn *daemon) addFinding(format string, args ...any) {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	dmn.findings = append(dmn.findings, fmt.Sprintf(format, args...))
}

func (dmn *daemon) addDisturbance(from, to time.Time) {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	dmn.disturbed = append(dmn.disturbed, span{from, to})
}

// wasDisturbed reports whether a fault of this daemon, or its after-effect, was active between two times.
func (dmn *daemon) wasDisturbed(from, to time.Time) bool {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	for _, one := range dmn.disturbed {
		if one.from.Before(to) && from.Before(one.to) {
			return true
		}
	}
	return false
}

// mayBreakOff reports whether a planned stop may break off a call: a stream that was sent up to lateTime after the signal and
// still ran near the end of drainNotice.
func (dmn *daemon) mayBreakOff(cal *call) bool {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	for _, stop := range dmn.stops {
		elapsed := cal.ended.Sub(stop)
		if cal.isStream() && cal.sent.Sub(stop) <= lateTime && elapsed >= drainNotice-lastPart && elapsed <= drainNotice+lossSlack {
			return true
		}
	}
	return false
}

// incarnation returns how often the process was started before a time, which identifies the process at that time.
func (dmn *daemon) incarnation(at time.Time) int {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	count := 0
	for _, start := range dmn.starts {
		if start.Before(at) {
			count++
		}
	}
	return count
}

// memory returns the resident memory in bytes and the number of open descriptors.
func (dmn *daemon) memory() (resident int64, descriptors int) {
	dmn.mutex.Lock()
	dir := fmt.Sprintf("/proc/%d", dmn.cmd.Process.Pid)
	dmn.mutex.Unlock()
	if data, err := os.ReadFile(dir + "/statm"); err == nil {
		var size, pages int64
		if _, err := fmt.Sscan(strings.TrimSpace(string(data)), &size, &pages); err == nil {
			resident = pages * int64(os.Getpagesize())
		}
	}
	entries, err := os.ReadDir(dir + "/fd")
	if err == nil {
		descriptors = len(entries)
	}
	return resident, descriptors
}
