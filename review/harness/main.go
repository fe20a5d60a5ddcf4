// Command harness runs the scripted cases of the review: the project's own programs as processes
// on loopback addresses, with stand-ins of the platform, the servers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Results of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: harness case NAME FOLDER | harness server ..."
)

var cases = map[string]func(b *bed, trouble bool) bool{
	"start-during-store-outage": startDuringStoreOutage,
	"gone-server":               goneServer,
	"settings-change":           settingsChange,
	"harmful-request":           harmfulRequest,
}

func main() {
	switch {
	case len(os.Args) > 2 && os.Args[1] == "server":
		serveModels(os.Args[2:])
	case len(os.Args) == 4 && os.Args[1] == "case" && cases[os.Args[2]] != nil:
		os.Exit(runCase(cases[os.Args[2]], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
}

// runCase runs a case in the root of the repository and returns its exit code.
func runCase(f func(b *bed, trouble bool) bool, folder string) (code int) {
	for _, program := range []string{"target/jacinthbend", "target/jacinthbend-agent"} {
		if _, err := os.Stat(program); err != nil {
			fmt.Fprintln(os.Stderr, "the build of the deploy file comes first:", err)
			return couldNot
		}
	}
	b := newBed(filepath.Join(folder, "record.txt"))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.stop()
		os.Exit(couldNot)
	}()
	defer func() {
		if p := recover(); p != nil {
			err, ok := p.(error)
			if !ok || !errors.Is(err, errNotRun) {
				err = fmt.Errorf("%w: %v", errNotRun, p)
			}
			b.note("%v", err)
			fmt.Fprintln(os.Stderr, err)
			code = couldNot
		}
		b.stop()
	}()
	if f(b, os.Getenv("TROUBLE") != "0") {
		fmt.Println("the rule is broken")
		return broken
	}
	fmt.Println("the rule holds")
	return held
}
