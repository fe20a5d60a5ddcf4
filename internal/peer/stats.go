package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// headerBytes is the size of a request or response of this transport without
// its body: request or status line, host, content type and length, date.
const headerBytes = 180

// Stats are the metrics of the JSON calls of this process, by path. Operators
// compare them with the budget for control traffic.
var Stats = metrics.NewSet()

func countCall(direction, path string, requestBody, responseBody int) {
	Stats.GetOrCreateCounter(fmt.Sprintf("jacinthbend_peer_calls_total{direction=%q,path=%q}", direction, path)).Inc()
	Stats.GetOrCreateCounter(fmt.Sprintf("jacinthbend_peer_bytes_total{direction=%q,path=%q}", direction, path)).
		Add(requestBody + responseBody + 2*headerBytes)
}
