package entryrpc

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
)

// quotaAsk is what a holder needs to know of a request for tokens.
type quotaAsk struct {
	// Size is the size of the whole request in tokens; 0, from an instance of an earlier version,
	// stands for the tokens that it wants to borrow.
	Size    float64 `json:"size,omitempty"`
	Urgency int     `json:"urgency,omitempty"`
	// Digest identifies the request when its caller returns.
	Digest uint64 `json:"digest,omitempty"`
	// LongestMS is the longest time after which the tokens serve the caller within its objective, in ms.
	LongestMS int64 `json:"longest_ms,omitempty"`
	// ReturnsMS is the longest time after which the caller comes back if it is refused, in ms.
	ReturnsMS int64 `json:"returns_ms,omitempty"`
}

func newQuotaAsk(a admission.Ask) quotaAsk {
	return quotaAsk{Size: a.Tokens, Urgency: a.Urgency, Digest: a.Digest, LongestMS: a.Longest.Milliseconds(), ReturnsMS: a.Returns.Milliseconds()}
}

func (a quotaAsk) ask() admission.Ask {
	return admission.Ask{
		Tokens: a.Size, Urgency: a.Urgency, Digest: a.Digest,
		Longest: time.Duration(a.LongestMS) * time.Millisecond, Returns: time.Duration(a.ReturnsMS) * time.Millisecond,
	}
}

// borrowRequest asks to borrow tokens of a team's quota.
type borrowRequest struct {
	From   string  `json:"from"`
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
	quotaAsk
	// Counted is set if another holder has counted the request as demand.
	Counted bool `json:"counted,omitempty"`
}

func (r borrowRequest) request() tokenquota.Request {
	out := tokenquota.Request{Ask: r.ask(), Missing: r.Tokens, Counted: r.Counted}
	if out.Tokens == 0 {
		out.Tokens = r.Tokens
	}
	return out
}

// borrowResponse has the tokens that the lender deducted from its own balance.
type borrowResponse struct {
	// Holder is set if the called instance holds a share of the team's quota, as far
	// as its configuration and member list tell.
	Holder bool    `json:"holder"`
	Tokens float64 `json:"tokens"`
	// WaitMS is the estimated time until the lender has the missing tokens, in ms; 0
	// is unknown.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Booked is set if the tokens are booked for the request, but not for the next WaitMS.
	Booked bool `json:"booked,omitempty"`
	quotaPromise
}

func (r borrowResponse) result() tokenquota.LendResult {
	return tokenquota.LendResult{Holder: r.Holder, Tokens: r.Tokens, Wait: time.Duration(r.WaitMS) * time.Millisecond, Booked: r.Booked, Promised: r.promised()}
}

// bookRequest asks a holder to book the tokens of a refused request.
type bookRequest struct {
	Team string `json:"team"`
	quotaAsk
	// Piece are the tokens to book, and NotBeforeMS the time to which a booking is moved, in ms.
	Piece       float64 `json:"piece"`
	NotBeforeMS int64   `json:"not_before_ms,omitempty"`
	// Returned are tokens that the holder lent for the request, which did not spend them.
	Returned float64 `json:"returned,omitempty"`
}

func newBookRequest(team string, r tokenquota.BookRequest) bookRequest {
	return bookRequest{Team: team, quotaAsk: newQuotaAsk(r.Ask), Piece: r.Piece, NotBeforeMS: ceilMS(r.NotBefore), Returned: r.Returned}
}

func (r bookRequest) request() tokenquota.BookRequest {
	return tokenquota.BookRequest{Ask: r.ask(), Piece: r.Piece, NotBefore: time.Duration(r.NotBeforeMS) * time.Millisecond, Returned: r.Returned}
}

// bookResponse tells when the tokens will be free, and whether they are booked then.
type bookResponse struct {
	Holder bool  `json:"holder"`
	Booked bool  `json:"booked"`
	WaitMS int64 `json:"wait_ms"`
	quotaPromise
}

// quotaPromise is what a holder remembers of an earlier refusal of a request.
type quotaPromise struct {
	Known  bool  `json:"promised,omitempty"`
	LateMS int64 `json:"late_ms,omitempty"`
	Kept   bool  `json:"kept,omitempty"`
}

func newQuotaPromise(p tokenquota.Promised) quotaPromise {
	return quotaPromise{Known: p.Known, LateMS: p.Late.Milliseconds(), Kept: p.Kept}
}

func (p quotaPromise) promised() tokenquota.Promised {
	return tokenquota.Promised{Known: p.Known, Late: time.Duration(p.LateMS) * time.Millisecond, Kept: p.Kept}
}

// ceilMS returns d in ms, rounded up: who waits for less comes too early.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
