package dev

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Contents of the demonstration configuration. The keys and the operator token are
// public. They are valid only in the demonstration fleet, whose platform log is in
// memory.
const (
	demoKey           = "jb_dev_0000000000000000000000000000000000000000000"
	probeKey          = "jb_dev_probe_0000000000000000000000000000000000000"
	demoOperatorToken = "jb_dev_operator_token_0000000000"
	demoTeam          = "demo"
	// probeTeam pays for the test requests to a starting fleet, so that they leave the budget
	// of demoTeam to the user.
	probeTeam      = "readiness-probe"
	demoDataCentre = "dc-a"
	demoPool       = "engines"
	demoModel      = "haiku"
	demoAdapter    = "formal"
	demoAgents     = 2
)

func demoConfig() record.ConfigChange {
	team := config.Team{RateTokensPerS: 2000, BurstTokens: 20000, Weight: 1}
	return record.ConfigChange{
		Reason: "demonstration configuration",
		Changes: []record.EntryChange{
			{Section: record.SectionTeams, ID: demoTeam, Value: mustJSON(team)},
			{Section: record.SectionTeams, ID: probeTeam, Value: mustJSON(team)},
			{Section: record.SectionKeys, ID: "demo-key", Value: mustJSON(config.Key{Team: demoTeam, SHA256: digestOf(demoKey)})},
			{Section: record.SectionKeys, ID: "probe-key", Value: mustJSON(config.Key{Team: probeTeam, SHA256: digestOf(probeKey)})},
			{Section: record.SectionDataCentres, ID: demoDataCentre, Value: mustJSON(config.DataCentre{Region: "local", State: config.DataCentreIn})},
			{Section: record.SectionPools, ID: demoPool, Value: mustJSON(config.Pool{Kind: config.PoolEngine, MemoryMiB: engineMemoryMiB, ChecksFencing: true})},
			{Section: record.SectionModels, ID: demoModel, Value: mustJSON(config.Model{Pool: demoPool, MemoryMiB: 4096, MaxReplicas: 2})},
			{Section: record.SectionAdapters, ID: demoAdapter, Value: mustJSON(config.Adapter{Model: demoModel, MemoryMiB: 64, MaxReplicas: 2})},
		},
	}
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
