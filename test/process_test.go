package test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const listenerPause = 10 * time.Millisecond

type processesKey struct{}

// processes holds the background programs of one script by name.
type processes struct {
	mutex   sync.Mutex
	running map[string]*exec.Cmd
}

func newProcesses() *processes {
	return &processes{running: map[string]*exec.Cmd{}}
}

func scriptProcesses(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

func (prs *processes) stopAll() {
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	for _, cmd := range prs.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// cmdStart runs a program in the background: start NAME PROGRAM ARGS...; its output goes to NAME.log.
// If ARGS contain --address, it waits until that address accepts connections.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	out, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(programs, args[1]), args[2:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = ts.Getenv("WORK"), out, out
	ts.Check(cmd.Start())
	prs := scriptProcesses(ts)
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	prs.running[args[0]] = cmd
	if i := slices.Index(args, "--address"); i >= 0 && i+1 < len(args) {
		awaitListener(ts, args[0], args[i+1])
	}
}

func awaitListener(ts *testscript.TestScript, name, address string) {
	for deadline := time.Now().Add(eventuallyTimeout); ; time.Sleep(listenerPause) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s accepts no connections: %v; the log of %s: %s", address, err, name, ts.ReadFile(name+".log"))
		}
	}
}

// cmdSignal sends KILL, STOP, CONT or TERM: signal NAME SIGNAL. After KILL it waits until the process has ended.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
	if len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME KILL|STOP|CONT|TERM")
	}
	prs := scriptProcesses(ts)
	prs.mutex.Lock()
	defer prs.mutex.Unlock()
	cmd, ok := prs.running[args[0]]
	if !ok {
		ts.Fatalf("process %q is not running", args[0])
	}
	ts.Check(cmd.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		_ = cmd.Wait()
		delete(prs.running, args[0])
	}
}
