package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event with the time since the start in seconds.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

func (rec *record) add(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (rec *record) say(format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
