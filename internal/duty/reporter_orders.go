package duty

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/usage"
)

// decideOrders decides on the numbers of servers after the newest window has been collected. New orders go
// to the log before they are sent.
func (r *Reporter) decideOrders(result usage.Result) {
	if r.Orders == nil || result.Window < r.Windows.At(r.Clock.Now())-1 {
		return
	}
	last := make(map[string]int, len(r.ledger.Orders))
	for key, o := range r.ledger.Orders {
		last[key] = o.Desired
	}
	orders := r.Orders(r.Clock.Now(), result.Busy, func(service, dataCentre string) int {
		return last[orderKey(Order{Service: service, DataCentre: dataCentre})]
	})
	r.newOrders = r.newOrders[:0]
	for _, o := range orders {
		if last[orderKey(o)] != o.Desired {
			r.newOrders = append(r.newOrders, o)
		}
	}
	slices.SortFunc(r.newOrders, func(a, b Order) int { return cmp.Compare(orderKey(a), orderKey(b)) })
}

// recordOrder appends the next new order.
func (r *Reporter) recordOrder(ctx context.Context) {
	o := r.newOrders[0]
	if _, ok := r.append(ctx, "order", orderKey(o), record{Token: r.ledger.Claim.Token, Order: &o}); !ok {
		return
	}
	r.newOrders = r.newOrders[1:]
	r.unsentOrders[orderKey(o)] = o
	r.Logger.Info("order of servers recorded", zap.String("service", o.Service), zap.String("data_centre", o.DataCentre), zap.Int("desired", o.Desired))
}

// sendOrder sends an order as it is in the log.
func (r *Reporter) sendOrder(ctx context.Context) {
	var key string
	for k := range r.unsentOrders {
		if key == "" || k < key {
			key = k
		}
	}
	o := r.unsentOrders[key]
	err := r.call(ctx, "scale", func(ctx context.Context, token int64) error { return r.Platform.Scale(ctx, r.Self, token, o) })
	if errors.Is(err, errStale) {
		return
	}
	if err != nil {
		r.Logger.Warn("order of servers failed, sending it again later", zap.String("service", o.Service), zap.String("data_centre", o.DataCentre), telemetry.Err(err))
		return
	}
	delete(r.unsentOrders, key)
	r.Logger.Info("servers ordered", zap.String("service", o.Service), zap.String("data_centre", o.DataCentre), zap.Int("desired", o.Desired), zap.Int64("token", r.ledger.Claim.Token))
}

// errStale means that the claim was not verified lately enough for a call.
var errStale = errors.New("the claim has not been verified lately")

// call makes a call to the platform and decides when the next one may follow.
func (r *Reporter) call(ctx context.Context, name string, f func(ctx context.Context, token int64) error) error {
	callCtx, cancel := context.WithTimeout(ctx, r.Bounds.CallTimeout())
	defer cancel()
	began := r.Clock.Boot()
	if began-r.verifiedAt >= r.Bounds.maxVerifiedAge() {
		return errStale // this process has been frozen since the step was decided
	}
	err := f(callCtx, r.ledger.Claim.Token)
	var pause time.Duration
	switch {
	case err == nil:
		r.Stats.countCall(name, resultOK)
		r.callFailed = false
		r.callFrom = began + r.Bounds.callInterval()
		return nil
	case errors.Is(err, ErrCallLimit):
		r.Stats.countCall(name, resultLimited)
		pause = tickInterval
	case r.callFailed:
		r.Stats.countCall(name, resultFailed)
		pause = callPause
	default:
		r.Stats.countCall(name, resultFailed)
		r.callFailed, pause = true, firstCallPause
	}
	r.callFrom = r.Clock.Boot() + max(pause, r.Bounds.callInterval())
	return err
}
