package settings

import (
	"time"

	"papayacroft/document"
	"papayacroft/finding"
)

// Intake limits what the clients of a daemon may take of its memory and descriptors. With 0, the number is derived from
// the daemon's memory and descriptors.
type Intake struct {
	// MemoryMB is the memory that all requests may hold: heads, bodies and answers.
	MemoryMB int `yaml:"memoryMB"`
	// Connections and PeerConnections are the connections that are accepted from callers and from other daemons.
	Connections     int `yaml:"connections"`
	PeerConnections int `yaml:"peerConnections"`
	// BodyStall is the longest pause of a caller within a body, ReaderStall that of a caller that reads an answer.
	BodyStall   document.Duration `yaml:"bodyStall"`
	ReaderStall document.Duration `yaml:"readerStall"`
}

const (
	defaultBodyStall   = 5 * time.Second
	defaultReaderStall = 5 * time.Second
	// Callers of an entry daemon rely on 30 s for a write of a stream: a slower reader is disconnected and has to resume.
	entryBodyStall   = 10 * time.Second
	entryReaderStall = 30 * time.Second
	maxStall         = 10 * time.Minute
	// minIntakeMB holds a body of 4 MiB and an answer of 4 MiB in a buffer that grows to twice its size, 12 MiB, within the
	// three quarters of the budget that large requests of callers may use.
	minIntakeMB = 16
	// maxIntakeShare is the part of a daemon's memory, as a divisor, that requests may hold: the Go runtime collects
	// garbage all the time from 0.6 of the memory on.
	maxIntakeShare = 2
)

func newIntake(body, reader time.Duration) Intake {
	return Intake{BodyStall: document.Duration(body), ReaderStall: document.Duration(reader)}
}

// validate checks the settings beside the daemon's memory, which is 0 if it is not limited.
func (itk Intake) validate(lst *finding.List, memoryMB int) {
	switch {
	case itk.MemoryMB == 0:
	case itk.MemoryMB < minIntakeMB:
		lst.Add("intake.memoryMB", "value %d is not allowed; 0, or at least %d is expected", itk.MemoryMB, minIntakeMB)
	case memoryMB > 0 && itk.MemoryMB > memoryMB/maxIntakeShare:
		lst.Add("intake.memoryMB", "value %d is not allowed; at most half of memoryMB, %d, is expected", itk.MemoryMB, memoryMB/maxIntakeShare)
	}
	for _, one := range []struct {
		path  string
		value int
	}{{"intake.connections", itk.Connections}, {"intake.peerConnections", itk.PeerConnections}} {
		if one.value < 0 {
			lst.Add(one.path, "value %d is not allowed; 0 or more is expected", one.value)
		}
	}
	for _, one := range []struct {
		path  string
		value document.Duration
	}{{"intake.bodyStall", itk.BodyStall}, {"intake.readerStall", itk.ReaderStall}} {
		if dur := time.Duration(one.value); dur <= 0 || dur > maxStall {
			lst.Add(one.path, "value %s is not allowed; more than 0 and at most %s is expected", dur, maxStall)
		}
	}
}

// CheckDescriptors checks the numbers of connections beside the descriptors that the process may have: each connection of a
// caller needs another one to an endpoint.
func (itk Intake) CheckDescriptors(descriptors int) finding.List {
	var lst finding.List
	if wanted := 2*itk.Connections + itk.PeerConnections; wanted >= descriptors {
		lst.Add("intake.connections", "%d connections of callers, as many to endpoints and %d of peers need %d descriptors; the process may have %d",
			itk.Connections, itk.PeerConnections, wanted, descriptors)
	}
	return lst
}
