package topicwatch

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"
)

// FuzzPages guards against pages of other instances that end the follower, take back the
// configuration in force, or move it to an earlier position.
func FuzzPages(f *testing.F) {
	for _, seed := range []string{
		`[]`, `[{"items":null,"next":-1}]`, `[{"items":[{"key":"","value":"MQ==","offset":-5}],"next":9223372036854775807,"era":9223372036854775807}]`,
		`[{"items":[{"key":"config","value":"Mg==","offset":0,"era":1}],"next":1,"era":2},{"items":[{"key":"config","value":"MQ==","offset":5,"era":1}],"next":0,"era":1}]`,
		`[{"items":[{"key":"out/z","value":"MQ==","offset":3,"era":-1},{"key":"out/z","value":"","offset":2}],"next":4,"era":1,"age_ms":-7}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var pages []Page
		if json.Unmarshal(data, &pages) != nil || len(pages) > 20 {
			return
		}
		fo := NewFollower(Options{Decoder: textDecoder{}, Logger: zap.NewNop()})
		fo.topics = []Name{Operators}
		fo.apply(Operators, Page{Items: []Item{{Key: "config", Value: []byte("1"), Era: 1}}, Next: 1, Era: 1}, sourceList)
		version, position := int64(1), Position{Era: 1, Offset: 1}
		for i, p := range pages {
			switch i % 3 {
			case 0:
				if known, _ := fo.position(Operators); known.before(p.end()) {
					fo.apply(Operators, p, fallbackList)
				}
			case 1:
				fo.AddLost(Operators, p)
			case 2:
				fo.apply(Operators, p, sourceRecords)
			}
			if v := fo.View().Config.Version; v < version {
				t.Fatalf("version %d after %d", v, version)
			} else {
				version = v
			}
			at, _ := fo.position(Operators)
			if at.before(position) {
				t.Fatalf("position %+v after %+v", at, position)
			}
			position = at
			fo.ReadLocal(t.Context(), Operators, p.end(), 0, time.Second)
			if _, ok := fo.Snapshot(Operators); !ok {
				t.Fatal("the topic is not known any more")
			}
		}
	})
}
