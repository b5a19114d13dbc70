package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// addf adds a line that begins with the seconds since the start.
func (r *record) addf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// summaryf adds a line and prints it.
func (r *record) summaryf(format string, arguments ...any) {
	r.addf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// seconds returns a time as written in the record.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.start).Seconds()
}

func readAll(reader io.Reader) (string, error) {
	content, err := io.ReadAll(reader)
	return string(content), err
}
