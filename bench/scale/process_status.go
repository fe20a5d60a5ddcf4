package scale

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/node"
)

// processStatus is the status that a process reports.
type processStatus = node.Status

// teamValue returns the value that each measured change writes.
func teamValue() (json.RawMessage, error) {
	data, err := json.Marshal(config.Team{RateTokensPerS: 100, BurstTokens: 1000})
	return data, errors.Wrap(err, "encode team")
}
