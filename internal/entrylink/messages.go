package entrylink

import "github.com/jacinthbend/jacinthbend/internal/topic"

const (
	pathBorrow = "/v1/entry/borrow"
	pathReturn = "/v1/entry/return"
	pathTopic  = "/v1/entry/topic"
)

// borrowRequest asks for tokens of a team.
type borrowRequest struct {
	From   string  `json:"from"`
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
}

// borrowResponse has the tokens that the lender took off its own balance.
type borrowResponse struct {
	// Holder tells that the instance knows that it holds a part of the allowance.
	Holder bool    `json:"holder"`
	Tokens float64 `json:"tokens"`
	// WaitMS is when the lender expects to have the rest, in ms; 0 is unknown.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// returnRequest gives tokens back that were lent and not spent.
type returnRequest struct {
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
}

type returnResponse struct{}

// topicRequest asks for the records of a topic.
type topicRequest struct {
	Topic topic.Name `json:"topic"`
	// Fresh asks only for what the instance has from the store itself, from an
	// offset on; the call may wait for it, in ms.
	Fresh  bool  `json:"fresh,omitempty"`
	From   int64 `json:"from,omitempty"`
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// topicResponse has the records, unless the instance knows none.
type topicResponse struct {
	Known bool       `json:"known"`
	Page  topic.Page `json:"page"`
}
