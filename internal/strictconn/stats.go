package strictconn

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Stats counts invalid responses by their part; it belongs to the metrics of the process.
var Stats = metrics.NewSet()

// report counts and logs an invalid response of the server at addr. A response that only ends too early
// is not logged here: it is no fault of the server's protocol, and its reader logs it.
func report(addr string, err *InvalidError) {
	part := strings.ReplaceAll(string(err.Part), " ", "_")
	Stats.GetOrCreateCounter(fmt.Sprintf("jacinthbend_invalid_responses_total{part=%q}", part)).Inc()
	if err.Part != End {
		zap.L().Warn("invalid response", zap.String("addr", addr), zap.String("part", string(err.Part)), zap.String("reason", err.Reason.Error()))
	}
}
