// Package scale measures what an idle fleet of real processes costs per
// process, and how long a change takes to be in force everywhere.
package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/node"
)

// httpTimeout bounds a request to an operator listener.
const httpTimeout = 5 * time.Second

// counters holds the CPU time, bytes and calls of a process since its start.
type counters struct {
	cpu   time.Duration
	bytes float64
	calls float64
}

func readCounters(p *fleet.Process) (counters, error) {
	var c counters
	var err error
	if c.cpu, err = p.CPU(); err != nil {
		return c, err
	}
	body, err := httpGet("http://" + p.OperatorAddr + "/metrics")
	if err != nil {
		return c, err
	}
	lines := bufio.NewScanner(strings.NewReader(string(body)))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case strings.HasPrefix(name, "jacinthbend_peer_bytes_total"):
			c.bytes += v
		case strings.HasPrefix(name, "jacinthbend_peer_calls_total"):
			c.calls += v
		}
	}
	return c, nil
}

func getStatus(p *fleet.Process) (node.Status, error) {
	var s node.Status
	body, err := httpGet("http://" + p.OperatorAddr + node.PathStatus)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "decode status")
}

func httpGet(url string) ([]byte, error) {
	client := http.Client{Timeout: httpTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "query operator listener")
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// distribution is the median and the maximum of several values.
type distribution struct {
	Median float64
	Max    float64
}

func newDistribution(values []float64) distribution {
	if len(values) == 0 {
		return distribution{}
	}
	slices.Sort(values)
	return distribution{Median: values[len(values)/2], Max: values[len(values)-1]}
}
