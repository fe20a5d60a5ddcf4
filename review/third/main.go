// Command third runs the cases of the third review against the project's programs, with stand-ins
// of the platform, the servers and the clients in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(dir string, trouble bool) (broken bool){}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	tempDir    string
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
	tempDir, err = os.MkdirTemp("", "review-third")
	check(err)
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fatal("ended by %v", <-ends) }()
	time.AfterFunc(110*time.Second, func() { fatal("the case took too long") })
	broken := run(tempDir, os.Getenv("TROUBLE") != "0")
	if p := endedProcess(); p != "" {
		fatal("%s has ended by itself", p)
	}
	cleanUp()
	record("rule broken: %v", broken)
	if broken {
		os.Exit(1)
	}
}

// cleanUp ends all processes that the case started and removes its files.
func cleanUp() {
	stopProcesses()
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}
