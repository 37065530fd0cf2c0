package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/provider"
	"papayacroft/standin"
)

const (
	startTimeout        = 15 * time.Second
	clockTicksPerSecond = 100 // USER_HZ of Linux
	outputTokens        = 2000
	targetOrganisations = 6200
	engineProcesses     = 2
)

// cluster is one daemon and the stand-ins that it needs, as processes on loopback.
type cluster struct {
	// programDir is the directory of the built programs.
	programDir string
	// dir is a temporary directory for settings and keys.
	dir string
	// running holds the started processes, the daemon included.
	running []*exec.Cmd
	daemon  *exec.Cmd
	// entry and admin are the daemon's addresses for callers and for administration.
	entry string
	admin string
}

// startCluster starts stand-ins and a daemon and publishes a configuration with the given number of organisations.
func startCluster(programs string, organisations int, tokenInterval time.Duration) (*cluster, error) {
	dir, err := os.MkdirTemp("", "papayacroft-capacity-")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	clu := &cluster{programDir: programs, dir: dir}
	if err := clu.start(organisations, tokenInterval); err != nil {
		clu.stop()
		return nil, trace.Wrap(err)
	}
	return clu, nil
}

// start starts the stand-ins and the daemon, publishes the configuration and waits until the daemon is ready.
func (clu *cluster) start(organisations int, tokenInterval time.Duration) error {
	adr, err := standin.FreeAddresses(5 + engineProcesses)
	if err != nil {
		return trace.Wrap(err)
	}
	log, vms, peerAddress, engines := adr[0], adr[1], adr[4], adr[5:]
	clu.entry, clu.admin = adr[2], adr[3]
	if err := clu.writeFiles(log, vms, peerAddress); err != nil {
		return trace.Wrap(err)
	}
	commands := [][]string{
		{"log", "--address", log},
		{"vms", "--address", vms, "--file", filepath.Join(clu.dir, "vms.json")},
	}
	for _, address := range engines {
		commands = append(commands, []string{
			"engine", "--address", address, "--models", "model-0", "--capacity-tokens", "1000000000",
			"--output-tokens", strconv.Itoa(outputTokens), "--token-interval", tokenInterval.String(),
		})
	}
	for _, args := range commands {
		if _, err := clu.run("papayacroft-standin", args...); err != nil {
			return trace.Wrap(err)
		}
	}
	if clu.daemon, err = clu.run("papayacroftd", "--settings", filepath.Join(clu.dir, "entry.yaml")); err != nil {
		return trace.Wrap(err)
	}
	if err := clu.awaitOK("/healthz"); err != nil {
		return trace.Wrap(err)
	}
	if err := publish(log, organisations, engines); err != nil {
		return trace.Wrap(err)
	}
	return clu.awaitOK("/readyz")
}

func (clu *cluster) writeFiles(log, vms, peerAddress string) error {
	key := filepath.Join(clu.dir, "position.key")
	settings := fmt.Sprintf("name: entry-1\nfailureDomain: domain-1\nregion: region-1\ncallerAddress: %s\nadminAddress: %s\npeerAddress: %s\n"+
		"platform:\n  logURL: http://%s\n  vmsURL: http://%s\npositionKeyFile: %s\nlog:\n  level: warning\n", clu.entry, clu.admin, peerAddress, log, vms, key)
	for name, content := range map[string]string{
		key: strings.Repeat("capacity-key-", 4), filepath.Join(clu.dir, "entry.yaml"): settings, filepath.Join(clu.dir, "vms.json"): "[]",
	} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// publish appends a configuration in which only the given engines serve model-0 and organisations have no limits.
func publish(log string, organisations int, engines []string) error {
	cfg := scaledConfiguration(organisations, targetEngines, targetModels)
	for name, edp := range cfg.Endpoints {
		if edp.Pool == "pool-0" {
			delete(cfg.Endpoints, name)
		}
	}
	for i, address := range engines {
		name := fmt.Sprintf("local-%d", i)
		cfg.Endpoints[name] = inventory.Endpoint{Name: name, Pool: "pool-0", Owner: "owner-0", Address: address, FailureDomain: "domain-1"}
	}
	for name, org := range cfg.Organisations {
		org.Limits = inventory.Limits{}
		cfg.Organisations[name] = org
	}
	changes, err := inventory.Diff(&inventory.Configuration{}, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	body, err := publishRecord(0, 1, changes)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = provider.NewHTTPLog("http://"+log).Append(context.Background(), configuration.Stream, body)
	return trace.Wrap(err)
}

func (clu *cluster) run(program string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(clu.programDir, program), args...) //nolint:gosec // The directory is an argument of this program.
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	clu.running = append(clu.running, cmd)
	return cmd, nil
}

// awaitOK waits until a path of the daemon's administration address answers with status 200.
func (clu *cluster) awaitOK(path string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		res, err := http.Get("http://" + clu.admin + path)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return trace.LimitExceeded("daemon did not answer %s with status 200 within %s", path, startTimeout)
}

func (clu *cluster) stop() {
	for _, cmd := range clu.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(clu.dir)
}

// cpuSeconds returns the processor time that the daemon has used so far.
func (clu *cluster) cpuSeconds() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", clu.daemon.Process.Pid))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond, trace.Wrap(err)
}

// memoryMiB returns the daemon's resident memory.
func (clu *cluster) memoryMiB() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", clu.daemon.Process.Pid))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), trace.Wrap(err)
}

// stream opens one stream and counts its tokens until the context ends or the stream does.
func (clu *cluster) stream(ctx context.Context, number int, count func(int)) error {
	body, err := json.Marshal(map[string]any{"model": "model-0", "class": scaleClass, "prompt": "capacity", "stream": true})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+clu.entry+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return trace.Wrap(err)
	}
	// The engines belong to owner-0, which has approved the teams of organisation-0.
	req.Header.Set("Authorization", fmt.Sprintf("Bearer organisation-%d/team-%d", 0, number%teamsPerOrganisation))
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return trace.BadParameter("stream %d: %s", number, res.Status)
	}
	buf := make([]byte, 4096)
	for {
		read, err := res.Body.Read(buf)
		count(strings.Count(string(buf[:read]), "\n\n"))
		if err != nil {
			return nil
		}
	}
}
