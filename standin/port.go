package standin

import (
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

const (
	// Only ports below 32768 are chosen: the kernel assigns those from 32768 on to outgoing connections, and one of
	// these occupied a chosen port before the daemon could listen on it.
	firstPort = 12000
	lastPort  = 31999
)

// portLocks holds the lock files of the chosen ports, by port, open until the process ends.
var portLocks sync.Map

// FreeAddresses returns loopback addresses with random ports on which nothing listens and which no other process that
// uses this function has chosen.
func FreeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		port := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort+1))
		locked, err := lockPort(port)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if !locked {
			continue
		}
		lis, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue
		}
		if err := lis.Close(); err != nil {
			return nil, trace.Wrap(err)
		}
		addresses = append(addresses, lis.Addr().String())
	}
	return addresses, nil
}

// lockPort locks a port against other processes that choose ports at the same time, and reports whether it succeeded.
// Without the lock, a process that probed the port by listening on it made the program that was started there fail.
func lockPort(port string) (bool, error) {
	dir := filepath.Join(os.TempDir(), "papayacroft-test-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(filepath.Join(dir, port), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return false, nil
	}
	portLocks.Store(port, file)
	return true, nil
}
