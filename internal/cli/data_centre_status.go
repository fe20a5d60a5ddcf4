package cli

import (
	"github.com/jacinthbend/jacinthbend/internal/config"
)

type dataCentreStatus struct {
	State  config.DataCentreState `json:"state"`
	Region string                 `json:"region"`
	Entry  int                    `json:"entry_instances"`
	Agents int                    `json:"agents"`
}
