package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	// crowdTime limits the time for which a crowd sends. It bounds the duration of a case; nothing is measured against it.
	crowdTime = 8 * time.Second
	// answerTime limits the wait for the ordinary request. It is generous, so that the test does not depend on the
	// machine's speed.
	answerTime = 90 * time.Second
	sampleTime = 10 * time.Millisecond
	// settleTime is how long a crowd stays after it has sent everything, so that a daemon has taken its connections.
	settleTime = time.Second
	blockBytes = 64 << 10
	// readBytes is the receive buffer of a client that does not read its answers.
	readBytes = 4 << 10
)

// crowdCase is a number of clients that all send the same. Their connections stay open until the ordinary request has
// been answered.
type crowdCase struct {
	Name, Guards string
	// Program is gateway or entry.
	Program string
	// Address is the address of the program that the clients connect to: caller, ready, metrics, peer or admin.
	Address string
	Clients int
	// Begin is sent once, with a byte for each character; Repeat is sent Count times, each with its number in place of %d
	// or %x, with a pause of Pace between two; End is sent once.
	Begin, Repeat, End string
	Count              int
	Pace               time.Duration
	// Reads is true if the clients read what the daemon sends.
	Reads bool
	// MemoryMB bounds the resident memory of the process at any time.
	MemoryMB int `yaml:"memoryMB"`
	// Freed is true if no endpoint may go on with a stream, though the clients stay.
	Freed bool
	// Limit is the process's limit of descriptors; Descriptors bounds those that are open at any time. 0 means none.
	Limit, Descriptors int
}

// Guards against clients that take a daemon's memory or descriptors, as described by the guards of each case in
// testdata/crowds.yaml. The cases run one at a time, and no check depends on the machine's speed.
func TestCrowds(t *testing.T) {
	data, err := os.ReadFile("testdata/crowds.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []crowdCase
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	programs := buildPrograms(t)
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			cse.play(t, programs)
		})
	}
}

func (cse *crowdCase) play(t *testing.T, programs string) {
	dmn := startDaemon(t, programs, cse.Program, cse.Limit)
	dmn.awaitAnswer(t)
	before := dmn.peakMB(t)
	leave := make(chan struct{})
	var sending, clients sync.WaitGroup
	sampled := dmn.sampleDescriptors(leave)
	for range cse.Clients {
		sending.Add(1)
		clients.Go(func() { cse.attack(dmn.addresses[cse.Address], sending.Done, leave) })
	}
	sending.Wait()
	time.Sleep(settleTime)
	dmn.awaitAnswer(t)
	if cse.Freed {
		dmn.awaitFreed(t)
	}
	close(leave)
	clients.Wait()
	descriptors := <-sampled
	memory := dmn.peakMB(t)
	t.Logf("memory %d MB (%d before the crowd), bound %d; descriptors %d, bound %d", memory, before, cse.MemoryMB, descriptors, cse.Descriptors)
	if memory > cse.MemoryMB {
		t.Errorf("got %d MB of resident memory, want %d at most", memory, cse.MemoryMB)
	}
	if cse.Descriptors > 0 && descriptors > cse.Descriptors {
		t.Errorf("got %d open descriptors, want %d at most", descriptors, cse.Descriptors)
	}
	if dmn.hasEnded() {
		t.Errorf("got the end of the process, want it alive: %s", dmn.lastLines())
	}
}

// attack is one client. It calls sent when it has sent everything or can send no more, and holds its connection until
// leave is closed.
func (cse *crowdCase) attack(address string, sent func(), leave <-chan struct{}) {
	var once sync.Once
	defer once.Do(sent)
	until := time.Now().Add(crowdTime)
	con, err := net.DialTimeout("tcp", address, crowdTime)
	if err != nil {
		return
	}
	defer con.Close()
	if cse.Reads {
		go func() { _, _ = io.Copy(io.Discard, con) }()
	} else {
		_ = con.(*net.TCPConn).SetReadBuffer(readBytes)
	}
	_ = con.SetWriteDeadline(until)
	if _, err := con.Write(latin1(cse.Begin)); err == nil && cse.sendRepeats(con, until) == nil {
		_, _ = io.WriteString(con, cse.End)
	}
	once.Do(sent)
	<-leave
}

func (cse *crowdCase) sendRepeats(con net.Conn, until time.Time) error {
	numbered := strings.Contains(cse.Repeat, "%")
	var block bytes.Buffer
	for number := range cse.Count {
		if numbered {
			fmt.Fprintf(&block, cse.Repeat, number)
		} else {
			block.WriteString(cse.Repeat)
		}
		if cse.Pace == 0 && block.Len() < blockBytes && number+1 < cse.Count {
			continue
		}
		if _, err := con.Write(block.Bytes()); err != nil {
			return err
		}
		block.Reset()
		if cse.Pace > 0 {
			time.Sleep(cse.Pace)
		}
		if time.Now().After(until) {
			return nil
		}
	}
	return nil
}

// awaitFreed waits until no endpoint sends a stream.
func (dmn *process) awaitFreed(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(answerTime); dmn.streams.Load() > 0; time.Sleep(sampleTime) {
		if time.Now().After(until) {
			t.Errorf("got %d streams at endpoints, want none whose caller does not read", dmn.streams.Load())
			return
		}
	}
}

// latin1 returns a byte for each character.
func latin1(text string) []byte {
	data := make([]byte, 0, len(text))
	for _, char := range text {
		data = append(data, byte(char))
	}
	return data
}

// awaitAnswer sends the ordinary request on new connections until one is answered.
func (dmn *process) awaitAnswer(t *testing.T) {
	t.Helper()
	clt := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for until := time.Now().Add(answerTime); time.Now().Before(until) && !dmn.hasEnded(); time.Sleep(5 * sampleTime) {
		req, err := dmn.ordinary()
		if err != nil {
			t.Fatal(err)
		}
		res, err := clt.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d: %s", res.StatusCode, text)
	}
	t.Errorf("got %s, want an answer to an ordinary request; the process has ended: %t; %s", last, dmn.hasEnded(), dmn.lastLines())
}
