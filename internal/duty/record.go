package duty

import (
	"strconv"
	"strings"
)

// Keys of records. A report replaces that of reportSlots windows before, so that the list of the
// newest records is short.
const (
	claimKey     = "usage"
	reportPrefix = "usage."
	orderPrefix  = "scale."
	reportSlots  = 16
)

func reportKey(window int64) string {
	return reportPrefix + strconv.FormatInt(window%reportSlots, 10)
}

func orderKey(o Order) string { return orderPrefix + o.Service + "/" + o.DataCentre }

func isReportKey(key string) bool { return strings.HasPrefix(key, reportPrefix) }

func isOrderKey(key string) bool { return strings.HasPrefix(key, orderPrefix) }

// record is the value of a record of the log.
type record struct {
	// Holder is the instance that wrote the record, and Start the random number of its run.
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Era is the era in which the writer had read the log.
	Era int64 `json:"era"`
	// AtMS is when it was written by the writer's clock, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// From is the first window that may be reported under a claim.
	From int64 `json:"from,omitempty"`
	// Token is the fencing token of the claim under which a report or an order was written.
	Token int64 `json:"token,omitempty"`
	// Window and Counts are a report.
	Window int64            `json:"window,omitempty"`
	Counts map[string]int64 `json:"counts,omitempty"`
	// Order is an order of servers.
	Order *Order `json:"order,omitempty"`
}
