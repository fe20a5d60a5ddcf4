package entryrpc

import (
	"context"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/streamorigin"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// maxWait bounds how long a topic call may wait for records.
const maxWait = 2 * time.Second

// Lender lends tokens from this instance's share of a team's quota.
type Lender interface {
	LendTo(ctx context.Context, team string, r tokenquota.Request) tokenquota.LendResult
	Book(team string, r tokenquota.BookRequest) tokenquota.BookResult
	Return(team string, tokens float64)
}

// TopicCache holds the topic records that this instance knows.
type TopicCache interface {
	Snapshot(t topicwatch.Name) (topicwatch.Page, bool)
	ReadLocal(ctx context.Context, t topicwatch.Name, from topicwatch.Position, wait, maxAge time.Duration) (topicwatch.Page, bool)
}

// CrashTable takes the reports of other instances on crashed upstreams.
type CrashTable interface {
	SetReport(instance string, r quarantine.Report)
}

// Origins knows which software versions began streams.
type Origins interface {
	Answer(ctx context.Context, service, id string) streamorigin.Answer
}

// UsageCounter has the counts of this instance.
type UsageCounter interface {
	AnswerUsage(ctx context.Context, req usage.Request) usage.Answer
}

// RegisterUsage adds a handler for the question of the holder of the duty for the counts of this
// instance.
func RegisterUsage(r *route.Engine, counter UsageCounter) {
	peer.Handle(r, pathUsage, func(ctx context.Context, req usage.Request) (usage.Answer, error) {
		return counter.AnswerUsage(ctx, req), nil
	})
}

// Register adds handlers for the calls of other entry instances to r.
func Register(r *route.Engine, lender Lender, cache TopicCache, crashes CrashTable, origins Origins) {
	peer.Handle(r, pathOrigin, func(ctx context.Context, req originRequest) (streamorigin.Answer, error) {
		return origins.Answer(ctx, req.Service, req.Request), nil
	})
	peer.Handle(r, pathCrash, func(_ context.Context, req crashReport) (crashReportResponse, error) {
		if req.From == "" {
			return crashReportResponse{}, errkind.New(errkind.InvalidRequest, "the report names no instance")
		}
		crashes.SetReport(req.From, req.Report.Live())
		return crashReportResponse{}, nil
	})
	peer.Handle(r, pathBorrow, func(ctx context.Context, req borrowRequest) (borrowResponse, error) {
		result := lender.LendTo(ctx, req.Team, req.request())
		return borrowResponse{Holder: result.Holder, Tokens: result.Tokens, WaitMS: ceilMS(result.Wait), Booked: result.Booked, quotaPromise: newQuotaPromise(result.Promised)}, nil
	})
	peer.Handle(r, pathBook, func(_ context.Context, req bookRequest) (bookResponse, error) {
		result := lender.Book(req.Team, req.request())
		return bookResponse{Holder: result.Holder, Booked: result.Booked, WaitMS: ceilMS(result.Wait), quotaPromise: newQuotaPromise(result.Promised)}, nil
	})
	peer.Handle(r, pathReturn, func(_ context.Context, req returnRequest) (returnResponse, error) {
		lender.Return(req.Team, req.Tokens)
		return returnResponse{}, nil
	})
	peer.Handle(r, pathTopic, func(ctx context.Context, req topicRequest) (topicResponse, error) {
		if req.Fresh {
			wait := min(maxWait, time.Duration(req.WaitMS)*time.Millisecond)
			maxAge := topicwatch.MaxStaleness
			if req.MaxAgeMS > 0 {
				maxAge = time.Duration(req.MaxAgeMS) * time.Millisecond
			}
			page, ok := cache.ReadLocal(ctx, req.Topic, topicwatch.Position{Era: req.Era, Offset: req.From}, wait, maxAge)
			return topicResponse{Known: ok, Page: page}, nil
		}
		page, ok := cache.Snapshot(req.Topic)
		if req.Before > 0 {
			page.Items = slices.DeleteFunc(page.Items, func(it topicwatch.Item) bool { return it.Era >= req.Before })
		}
		return topicResponse{Known: ok, Page: page}, nil
	})
}
