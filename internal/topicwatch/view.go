package topicwatch

import (
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// decodedItem is a decoded record, or one that cannot be decoded if value is nil.
type decodedItem struct {
	position Position
	value    any
}

// publishView builds a view from the records and publishes it if it is complete.
// The caller holds f.mu.
func (f *Follower) publishView() {
	v := &fleet.View{
		Upstreams: make(map[string]*fleet.Upstream), Evacuated: make(map[string]bool), Members: make(map[string]fleet.Member),
	}
	for key, it := range f.states[Operators].items {
		f.addOperatorRecord(v, key, it)
	}
	for key, it := range f.states[Upstreams].items {
		if u, ok := decodeCached(f, Upstreams, key, it, f.decoder.Upstream); ok {
			v.Upstreams[key] = u
		}
	}
	for key, it := range f.states[Members].items {
		if m, ok := decodeCached(f, Members, key, it, f.decoder.Member); ok {
			v.Members[key] = m
		}
	}
	v.Config = f.config
	for _, t := range f.topics {
		if inView(t) && f.states[t].next < 0 {
			return
		}
	}
	if v.Config == nil {
		return
	}
	f.view.Store(v)
	if f.onChange != nil {
		f.onChange(v)
	}
}

type operatorRecord struct {
	config     *fleet.Config
	dataCentre string
}

func (f *Follower) addOperatorRecord(v *fleet.View, key string, it Item) {
	r, ok := decodeCached(f, Operators, key, it, func(it Item) (operatorRecord, error) {
		c, dc, err := f.decoder.Operator(it)
		return operatorRecord{c, dc}, err
	})
	if !ok {
		return
	}
	if r.dataCentre != "" {
		v.Evacuated[r.dataCentre] = true
	}
	// An older version never replaces a newer one that is in effect (H15).
	if r.config != nil && (f.config == nil || r.config.Version > f.config.Version) {
		f.config = r.config
		f.logger.Info("configuration applied", zap.Int64("version", r.config.Version), zap.Int("routes", len(r.config.Routes)))
	}
}

// decodeCached decodes a record, or returns the cached value if it was decoded
// before. A record that cannot be decoded is skipped, and logged unless the one before it
// under its key could not be either.
func decodeCached[T any](f *Follower, t Name, key string, it Item, decode func(Item) (T, error)) (T, bool) {
	last, decoded := f.decoded[t][key]
	if decoded && last.position == it.position() {
		v, ok := last.value.(T)
		return v, ok
	}
	v, err := decode(it)
	if err != nil {
		if f.onInvalid != nil {
			f.onInvalid(t)
		}
		log := f.logger.Warn
		if decoded && last.value == nil {
			log = f.logger.Debug
		}
		log("record cannot be decoded, skipping it", zap.String("topic", string(t)), zap.String("key", key), zap.Int64("offset", it.Offset), telemetry.Err(err))
		f.decoded[t][key] = decodedItem{position: it.position()}
		return v, false
	}
	f.decoded[t][key] = decodedItem{position: it.position(), value: v}
	return v, true
}
