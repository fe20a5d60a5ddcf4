package duty

import (
	"context"
	"errors"
)

// Platform takes the calls that are a duty.
type Platform interface {
	// ReportUsage reports the counts of a window. It returns ErrCallLimit if the platform takes
	// no more calls now. After another error the report may have arrived.
	ReportUsage(ctx context.Context, holder string, token, window int64, counts map[string]int64) error
	// Scale orders a number of servers. Its errors are those of ReportUsage.
	Scale(ctx context.Context, holder string, token int64, order Order) error
}

// Order is the number of servers that a service is to have in a data centre.
type Order struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Desired    int    `json:"desired"`
}

// ErrCallLimit means that the platform refused a call because there were too many.
var ErrCallLimit = errors.New("the platform takes no more calls now")
