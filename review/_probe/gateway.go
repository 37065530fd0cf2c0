package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is limits.memoryMb of the small deployment.
	memoryMB  = 134
	startTime = 10 * time.Second
)

// Gateway is one process of the role of the deploy file.
type Gateway struct {
	name         string
	front, ready string
	settings     string
	log          *Log
	mutex        sync.Mutex
	process      *exec.Cmd
	ended        chan struct{}
	output       *os.File
}

// newGateway writes the settings of a process as the platform fills in deploy/gateway.yaml.
func newGateway(log *Log, folder, name, store string) *Gateway {
	ports := freePorts(4)
	text, err := os.ReadFile("deploy/gateway.yaml")
	if err != nil {
		unable("template: %v", err)
	}
	values := map[string]string{
		"nodeName": name, "zone": "akl-a", "listen.front": ports[0], "listen.ready": ports[1],
		"ip}}:{{internalPorts.0": ports[2], "ip}}:{{internalPorts.1": ports[3], "platform.address": store,
		"bounds.graceS": "8", "limits.memoryMb": strconv.Itoa(memoryMB),
		"contracts":               "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "54", "bounds.budgetWindowS": "10",
		"bounds.coldOverage": "", "bounds.coldSlack": "",
	}
	filled := string(text)
	for field, value := range values {
		filled = strings.ReplaceAll(filled, "{{"+field+"}}", value)
	}
	if strings.Contains(filled, "{{") {
		unable("the template has fields that are not filled in: %s", filled)
	}
	gat := &Gateway{name: name, front: ports[0], ready: ports[1], settings: filepath.Join(folder, name+".yaml"), log: log}
	if err := os.WriteFile(gat.settings, []byte(filled), 0o600); err != nil {
		unable("settings: %v", err)
	}
	if gat.output, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		unable("log: %v", err)
	}
	return gat
}

// The ports of gateways lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// taken are the ports that gateways have got.
var taken = map[int]bool{}

// freePorts returns loopback addresses whose ports are free.
func freePorts(count int) []string {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		if tries == portCount {
			unable("no free ports")
		}
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] {
			continue
		}
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = lis.Close()
		taken[port] = true
		addresses = append(addresses, address)
	}
	return addresses
}

// start starts the process with the command of the deploy file.
func (gat *Gateway) start() {
	cmd := exec.Command("target/papayacroftd", "gateway", "--settings", gat.settings)
	cmd.Stdout, cmd.Stderr = gat.output, gat.output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		unable("start %s: %v", gat.name, err)
	}
	started(cmd)
	ended := make(chan struct{})
	gat.mutex.Lock()
	gat.process, gat.ended = cmd, ended
	gat.mutex.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	gat.log.note("%s started, process %d", gat.name, cmd.Process.Pid)
}

// awaitReady waits until the readiness check gets 200.
func (gat *Gateway) awaitReady() {
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if gat.isReady() {
			return
		}
	}
	unable("%s is not ready", gat.name)
}

func (gat *Gateway) isReady() bool {
	clt := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := clt.Get("http://" + gat.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
