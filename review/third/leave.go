package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = leave }

const (
	leaveShare   = 0.3                   // of the clients, the largest share of give_up on a day of the site file
	leaveWithin  = 75 * time.Millisecond // a quarter of the objective of order-confirm, half of give_up's own
	leaveClients = 8
	leaveEach    = 12
)

// leave has clients that send purchases on connections of their own. Some of them leave before the
// answer: they close their side of the connection and read until the other side is closed.
func leave(dir string, trouble bool) (broken bool) {
	store, err := newStore()
	check(err)
	store.put("keyed.op", "config", config(1))
	newService(store, "i-kiosk-1", "kiosk-app", 100*time.Millisecond)
	e := newEntry(dir, "edge-gau-a-1", store.addr, true)
	e.start()
	e.waitReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	for c := range leaveClients {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(c), 1))
			for i := range leaveEach {
				leaves := r.Float64() < leaveShare
				after := time.Duration(r.Float64() * float64(leaveWithin))
				a, bad := purchase(e.caller, fmt.Sprintf("p-%d-%d", c, i), leaves && trouble, after)
				mu.Lock()
				answers[a]++
				broken = broken || bad
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for a, n := range answers {
		record("%d requests: %s", n, a)
	}
	return broken
}

// purchase sends a purchase and reads until the answer is complete, or, if the client leaves, until the
// other side has closed the connection. It reports whether the client got a success that is not the
// server's.
func purchase(addr, id string, leaves bool, after time.Duration) (answer string, bad bool) {
	c, err := net.Dial("tcp", addr)
	check(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: kiosk.example\r\nJacinthbend-Request-Id: %s\r\nX-Api-Key: key-kiosks\r\n"+
		"Jacinthbend-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nhello", id)
	check(err)
	record("client sends %s", id)
	if leaves {
		time.Sleep(after)
		check(c.(*net.TCPConn).CloseWrite())
		record("client leaves %s after %v: it closes its side and reads to the end", id, after.Round(time.Millisecond))
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		record("client of %s got no answer: %v", id, err)
		return "no answer", false
	}
	body, err := io.ReadAll(resp.Body)
	stamp := resp.Header.Get("Jacinthbend-Server-Stamp")
	record("client of %s got %d, stamp %q, body %q, %v", id, resp.StatusCode, stamp, body, err)
	if resp.StatusCode/100 != 2 {
		return fmt.Sprint(resp.StatusCode), false
	}
	if stamp != "stamp-"+id || string(body) != "receipt of "+id {
		return "success that no server gave", true
	}
	return "success of the server", false
}
