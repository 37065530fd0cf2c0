package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	program  = "target/papayacroftd"
	template = "deploy/gateway.yaml"
	// readyTimeout is the time for which a gateway may take to become ready.
	readyTimeout = 15 * time.Second
)

// gateway is one process of the system.
type gateway struct {
	name, zone               string
	callers, ready, settings string
	log                      string
	cmd                      *exec.Cmd
}

// addGateway fills in the template of the deploy file's role for one machine.
func (sit *site) addGateway(name, zone string) (*gateway, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	// Each machine has an address of its own, so that no outgoing connection takes its ports.
	address := fmt.Sprintf("127.0.1.%d", 1+len(sit.gateways))
	ports, err := freePorts(address, 4)
	if err != nil {
		return nil, err
	}
	gtw := &gateway{
		name: name, zone: zone, callers: address + ":" + ports[0], ready: address + ":" + ports[1],
		settings: filepath.Join(sit.dir, name+".yaml"), log: filepath.Join(sit.dir, name+".log"),
	}
	filled := strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", zone, "{{listen.front}}", gtw.callers, "{{listen.ready}}", gtw.ready, "{{ip}}", address,
		"{{internalPorts.0}}", ports[2], "{{internalPorts.1}}", ports[3], "{{platform.address}}", sit.storeAddress,
		"{{bounds.graceS}}", "8", "{{limits.memoryMb}}", "134", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.retryBudgetExtra}}", "54", "{{bounds.budgetWindowS}}", "10",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return nil, fmt.Errorf("%s has placeholders that this test does not know:\n%s", template, filled)
	}
	if err := os.WriteFile(gtw.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	sit.gateways = append(sit.gateways, gtw)
	return gtw, nil
}

// freePorts returns ports of an address that nothing listens on.
func freePorts(address string, count int) ([]string, error) {
	var ports []string
	for range count {
		lis, err := net.Listen("tcp", address+":0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		_, port, err := net.SplitHostPort(lis.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// start runs the command of the deploy file's role.
func (gtw *gateway) start(rec *record) error {
	log, err := os.OpenFile(gtw.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	gtw.cmd = exec.Command(program, "gateway", "--settings", gtw.settings)
	gtw.cmd.Stdout, gtw.cmd.Stderr = log, log
	if err := gtw.cmd.Start(); err != nil {
		return err
	}
	rec.add("gateway %s started, process %d, callers %s", gtw.name, gtw.cmd.Process.Pid, gtw.callers)
	return nil
}

// kill ends the process at once.
func (gtw *gateway) kill() {
	if gtw.cmd != nil && gtw.cmd.Process != nil {
		_ = gtw.cmd.Process.Kill()
		_ = gtw.cmd.Wait()
		gtw.cmd = nil
	}
}

// isReady asks as the platform does.
func (gtw *gateway) isReady() bool {
	clt := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := clt.Get("http://" + gtw.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startGateways starts all gateways, waits until they are ready, and then until they count as in touch.
func (sit *site) startGateways(count int) error {
	zones := []string{"akl-a", "akl-b", "wlg-a", "chc-a"}
	for i := range count {
		zone := zones[i%len(zones)]
		gtw, err := sit.addGateway(fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), zone)
		if err != nil {
			return err
		}
		if err := gtw.start(sit.rec); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyTimeout)
	for _, gtw := range sit.gateways {
		for !gtw.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready %s after its start", gtw.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contact + 500*time.Millisecond)
	sit.rec.add("all gateways are ready and in touch")
	return nil
}

// logLines adds to the record what the gateways logged of a request.
func (sit *site) logLines(id string) {
	for _, gtw := range sit.gateways {
		data, err := os.ReadFile(gtw.log)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, id) {
				sit.rec.add("log of %s: %s", gtw.name, line)
			}
		}
	}
}
