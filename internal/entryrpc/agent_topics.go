package entryrpc

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	// agentTopicWait is how long an entry instance may hold the read of an agent.
	agentTopicWait = 1900 * time.Millisecond
	// agentTopicMaxAge is how old the records that an agent gets may be. An agent uses
	// only the model sizes of the configuration, so it can learn of a change late.
	agentTopicMaxAge = 5 * time.Second
	// callerTTL is how long after its last call an entry instance is asked.
	callerTTL = 5 * time.Second
)

// AgentTopics reads topics for an agent from an entry instance that has called it, since
// an agent knows no members. It is safe for concurrent use.
type AgentTopics struct {
	dataCentre string
	peers      *peer.Client

	mu sync.Mutex
	// addr is the entry instance to ask, local whether it is in the agent's data centre,
	// and calledAt when it last called.
	addr     string
	local    bool
	calledAt time.Time
}

// NewAgentTopics returns the reader of an agent that no entry instance has called yet.
func NewAgentTopics(dataCentre string) (*AgentTopics, error) {
	peers, err := peer.NewClient(readTimeout + agentTopicWait)
	return &AgentTopics{dataCentre: dataCentre, peers: peers}, err
}

// NoteCaller records a call of the entry instance at addr. One in the agent's own data
// centre is preferred.
func (a *AgentTopics) NoteCaller(addr, dataCentre string) {
	local := dataCentre == a.dataCentre
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr || local && !a.local || now.Sub(a.calledAt) > callerTTL {
		a.addr, a.local, a.calledAt = addr, local, now
	}
}

var _ topicwatch.RelayReader = (*AgentTopics)(nil)

// IsRelay implements topicwatch.RelayReader.
func (a *AgentTopics) IsRelay(topicwatch.Name) bool { return false }

// ReadFromRelay implements topicwatch.RelayReader. It waits up to agentTopicWait.
func (a *AgentTopics) ReadFromRelay(ctx context.Context, t topicwatch.Name, from topicwatch.Position, _ time.Duration) (topicwatch.Page, topicwatch.RelayResult) {
	a.mu.Lock()
	addr, fresh := a.addr, time.Since(a.calledAt) <= callerTTL
	a.mu.Unlock()
	if addr == "" || !fresh {
		return topicwatch.Page{}, topicwatch.NoRelay
	}
	callCtx, cancel := context.WithTimeout(ctx, agentTopicWait+relayReadMargin)
	defer cancel()
	var resp topicResponse
	err := a.peers.Call(callCtx, addr, pathTopic, topicRequest{
		Topic: t, Fresh: true, From: from.Offset, Era: from.Era, WaitMS: agentTopicWait.Milliseconds(), MaxAgeMS: agentTopicMaxAge.Milliseconds(),
	}, &resp)
	if err != nil || !resp.Known {
		a.drop(addr)
		return topicwatch.Page{}, topicwatch.RelayFailed
	}
	return resp.Page, topicwatch.Relayed
}

// drop stops asking the instance at addr until it calls again.
func (a *AgentTopics) drop(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		a.addr, a.local = "", false
	}
}
