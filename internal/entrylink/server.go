package entrylink

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/topic"
)

// mostWait bounds a call that waits for records.
const mostWait = 2 * time.Second

// Lender gives up tokens of a team.
type Lender interface {
	Lend(team string, tokens float64) (given float64, wait time.Duration, holder bool)
	Return(team string, tokens float64)
}

// Records hands out what an instance knows of a topic.
type Records interface {
	Snapshot(t topic.Name) (topic.Page, bool)
	ReadLocal(ctx context.Context, t topic.Name, from int64, wait time.Duration) (topic.Page, bool)
}

// Register serves the calls of other entry instances.
func Register(r *route.Engine, lender Lender, records Records) {
	peer.Handle(r, pathBorrow, func(_ context.Context, req borrowRequest) (borrowResponse, error) {
		tokens, wait, holder := lender.Lend(req.Team, req.Tokens)
		return borrowResponse{Holder: holder, Tokens: tokens, WaitMS: wait.Milliseconds()}, nil
	})
	peer.Handle(r, pathReturn, func(_ context.Context, req returnRequest) (returnResponse, error) {
		lender.Return(req.Team, req.Tokens)
		return returnResponse{}, nil
	})
	peer.Handle(r, pathTopic, func(ctx context.Context, req topicRequest) (topicResponse, error) {
		if req.Fresh {
			wait := min(mostWait, time.Duration(req.WaitMS)*time.Millisecond)
			page, ok := records.ReadLocal(ctx, req.Topic, req.From, wait)
			return topicResponse{Known: ok, Page: page}, nil
		}
		page, ok := records.Snapshot(req.Topic)
		return topicResponse{Known: ok, Page: page}, nil
	})
}
