// Command third runs the cases of the third review against the project's programs, with stand-ins
// of the platform, the servers and the clients in this process.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var cases = map[string]func(dir string, trouble bool) (broken bool){}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func main() {
	run, ok := cases[os.Args[1]]
	if !ok {
		fatal("unknown case %s", os.Args[1])
	}
	var err error
	recordFile, err = os.Create(os.Args[2])
	check(err)
	dir, err := os.MkdirTemp("", "review-third")
	check(err)
	time.AfterFunc(110*time.Second, func() { fatal("the case took too long") })
	broken := run(dir, os.Getenv("TROUBLE") != "0")
	stopProcesses()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	record("rule broken: %v", broken)
	if broken {
		os.Exit(1)
	}
}
