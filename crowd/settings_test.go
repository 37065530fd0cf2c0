package crowd

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against settings of the intake that are checked at the start only, or not beside the descriptors of the process,
// and against a reload that changes nothing.
func TestReload(t *testing.T) {
	programs := buildPrograms(t)
	dmn := startGateway(t, programs, 0)
	dmn.awaitAnswer(t)
	file := filepath.Join(filepath.Dir(dmn.log), "settings.yaml")
	old, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, stp := range []struct{ intake, want string }{
		{"intake: {connections: 10000000}", "settings not reloaded"},
		{"intake: {memoryMB: 100}", "at most half of memoryMB"},
		{"intake: {memoryMB: 20, readerStall: 2s}", "settings reloaded"},
	} {
		writeFile(t, file, string(old)+stp.intake+"\n")
		if err := dmn.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		dmn.awaitLog(t, stp.want)
		dmn.awaitAnswer(t)
	}
	other := &process{}
	other.start(t, programs, 0, string(old)+"intake: {peerConnections: 10000000}\n", "gateway")
	select {
	case <-other.ended:
	case <-time.After(startTime):
	}
	if text := other.lastLines(); !other.hasEnded() || !strings.Contains(text, "the process may have") {
		t.Errorf("got end %t and %s, want the end of the process and the finding", other.hasEnded(), text)
	}
}

// awaitLog waits until the process has logged a text.
func (dmn *process) awaitLog(t *testing.T, want string) {
	t.Helper()
	for until := time.Now().Add(startTime); ; time.Sleep(sampleTime) {
		data, err := os.ReadFile(dmn.log)
		if err == nil && strings.Contains(string(data), want) {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("got no log line with %q, want one; %s", want, dmn.lastLines())
		}
	}
}
