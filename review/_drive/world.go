package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"papayacroft/standin"
)

const (
	// graceTime is the time from SIGTERM to SIGKILL, graceS of the small deployments.
	graceTime = 8 * time.Second
	// memoryMB is limits.memoryMb of the small deployment kowhai-votes.
	memoryMB = 134
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	startTimeout = 10 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// world is the platform of one case: its store, its endpoints, the daemons under test and the record.
type world struct {
	began  time.Time
	folder string
	store  *standin.KeyedStore
	// storeAddress is where the daemons reach the store.
	storeAddress string

	mutex   sync.Mutex
	record  *os.File
	daemons []*daemon
	engines []*engine
}

func newWorld(recordFile string) (*world, error) {
	folder, err := os.MkdirTemp("", "papayacroft-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	wld := &world{began: time.Now(), folder: folder, record: record, store: standin.NewKeyedStore()}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wld.storeAddress = lis.Addr().String()
	go func() { _ = http.Serve(lis, wld.store) }() //nolint:gosec // a stand-in without timeouts
	return wld, nil
}

// note writes a line to the record with the time since the start.
func (wld *world) note(format string, args ...any) {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	fmt.Fprintf(wld.record, "%8.3f  %s\n", time.Since(wld.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (wld *world) close() {
	for _, dmn := range wld.daemons {
		dmn.end()
	}
	_ = wld.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wld.folder)
	}
}

// putConfig writes a configuration as the operator does.
func (wld *world) putConfig(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	wld.store.Put("keyed.op", "config", data)
	return nil
}

// daemon is one machine of the system with the process that runs there.
type daemon struct {
	world                         *world
	name, zone                    string
	caller, ready, peers, metrics string

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stoppedAt is when the platform sent SIGTERM last; the zero time if it did not.
	stoppedAt time.Time
	starts    int
}

func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// addDaemon adds a machine and starts its process.
func (wld *world) addDaemon(name, zone string) (*daemon, error) {
	dmn := &daemon{world: wld, name: name, zone: zone}
	for _, address := range []*string{&dmn.caller, &dmn.ready, &dmn.peers, &dmn.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if err := dmn.writeSettings(); err != nil {
		return nil, err
	}
	wld.daemons = append(wld.daemons, dmn)
	return dmn, dmn.start()
}

// settingsFile is the file that the template of the deploy file is rendered to.
func (dmn *daemon) settingsFile() string {
	return filepath.Join(dmn.world.folder, dmn.name+".yaml")
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills the template of the deploy file with the values of a small deployment.
func (dmn *daemon) writeSettings() error {
	template, err := os.ReadFile("deploy/gateway.yaml")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{ip}}:{{internalPorts.0}}", dmn.peers,
		"{{ip}}:{{internalPorts.1}}", dmn.metrics,
	).Replace(string(template))
	values := map[string]string{
		"nodeName": dmn.name, "zone": dmn.zone, "listen.front": dmn.caller, "listen.ready": dmn.ready, "platform.address": dmn.world.storeAddress,
		"bounds.graceS": "8", "limits.memoryMb": strconv.Itoa(memoryMB),
		"contracts":               "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "54", "bounds.budgetWindowS": "10",
	}
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string { return values[strings.Trim(found, "{}")] })
	return os.WriteFile(dmn.settingsFile(), []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (dmn *daemon) start() error {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	out, err := os.OpenFile(filepath.Join(dmn.world.folder, dmn.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/papayacroftd", "gateway", "--settings", dmn.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYACROFT_CONFIG=" + dmn.settingsFile()}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	dmn.process, dmn.exited = cmd, exited
	dmn.starts++
	dmn.world.note("%s: process %d started", dmn.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		dmn.world.note("%s: process %d ended: %v", dmn.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// current returns the id of the process and a channel that is closed when it has ended.
func (dmn *daemon) current() (pid int, exited chan struct{}) {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	return dmn.process.Process.Pid, dmn.exited
}

func (dmn *daemon) isRunning() bool {
	_, exited := dmn.current()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM and, after graceTime, SIGKILL, as the platform does.
func (dmn *daemon) stop() {
	pid, exited := dmn.current()
	dmn.mutex.Lock()
	dmn.stoppedAt = time.Now()
	dmn.mutex.Unlock()
	dmn.world.note("%s: SIGTERM", dmn.name)
	_ = syscall.Kill(pid, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		dmn.world.note("%s: SIGKILL", dmn.name)
		_ = syscall.Kill(pid, syscall.SIGKILL)
		<-exited
	}
}

// sinceStop returns the time from SIGTERM until a moment; ok is false if there was none before.
func (dmn *daemon) sinceStop(at time.Time) (elapsed time.Duration, ok bool) {
	dmn.mutex.Lock()
	defer dmn.mutex.Unlock()
	return at.Sub(dmn.stoppedAt), !dmn.stoppedAt.IsZero() && at.After(dmn.stoppedAt)
}

// end kills the process if it runs.
func (dmn *daemon) end() {
	if dmn.process == nil || !dmn.isRunning() {
		return
	}
	pid, exited := dmn.current()
	_ = syscall.Kill(pid, syscall.SIGKILL)
	<-exited
}

// isReady asks for readiness as the platform does.
func (dmn *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + dmn.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the process accepts requests.
func (dmn *daemon) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if dmn.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", dmn.name, startTimeout)
}

// awaitAll waits until all daemons are ready.
func (wld *world) awaitAll() error {
	for _, dmn := range wld.daemons {
		if err := dmn.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// minDescriptors is what a crowd and the connections of its machine need in this process.
const minDescriptors = 4096

// checkDescriptors returns an error if this process may not open enough connections for a crowd.
func checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < minDescriptors {
		return fmt.Errorf("this process may have %d descriptors; the case needs %d", limit.Cur, minDescriptors)
	}
	return nil
}

// residentMB returns the anonymous memory of a process in MB; 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kilobytes) / 1024
		}
	}
	return 0
}
