package replica_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// workEvent is work that an instance did at one time under one version of the
// configuration: it admitted requests with the keys and dispatched to the
// targets.
type workEvent struct {
	at                        time.Duration
	instance, incarnation, dc string
	version                   backing.Offset
	keys, targets             []string
}

// controlRecord is a record of the control stream. Instances must obey it only
// from knownAt, when an instance that is not cut off from all others first got
// the answer to its append or read it. If the log fails for everyone before
// that, no instance knows that the record exists, and a fleet that works
// through a log outage cannot obey it.
type controlRecord struct {
	knownAt time.Duration
	offset  backing.Offset
	data    json.RawMessage
}

// history collects the work and the control records of one simulation.
// liveModel applies the records as they are appended.
type history struct {
	mu        sync.Mutex
	liveModel *referenceModel
	work      []workEvent
	records   []controlRecord
}

func (h *history) recordWork(w workEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.work = append(h.work, w)
}

func (h *history) recordAppend(offset backing.Offset, data json.RawMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := controlRecord{forever, offset, data}
	h.records = append(h.records, rec)
	h.liveModel.apply(rec)
}

// markKnown sets the time of the record at the first call for it.
func (h *history) markKnown(at time.Duration, offset backing.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := &h.records[offset-1]; rec.knownAt == forever {
		rec.knownAt = at
	}
}

// propagationBound is the time after which every instance must obey a record:
// the view bound of section 7 of the design (3 s) plus the specified
// retry interval of log readers (500 ms). Section 2.5 allows configuration
// changes 4 s.
const (
	propagationBound       = 3*time.Second + 500*time.Millisecond
	configPropagationBound = 4 * time.Second
)

// referenceModel is an implementation of the control stream that is independent
// of package controlstate.
type referenceModel struct {
	seenIDs         map[string]bool
	version         backing.Offset
	versions        []controlRecord
	withdrawn       map[string]time.Duration
	outSpans        map[string][][2]time.Duration
	goneAt          map[string]time.Duration
	liveIncarnation map[string]string
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		seenIDs: map[string]bool{}, withdrawn: map[string]time.Duration{}, outSpans: map[string][][2]time.Duration{},
		goneAt: map[string]time.Duration{}, liveIncarnation: map[string]string{},
	}
}

type configEntry struct {
	Section string          `json:"section"`
	ID      string          `json:"id"`
	Value   json.RawMessage `json:"value"`
}

func (m *referenceModel) apply(rec controlRecord) {
	var e struct {
		ID   string `json:"id"`
		Kind string `json:"kind"`
		Body struct {
			Base        backing.Offset `json:"base"`
			Changes     []configEntry  `json:"changes"`
			Instance    string         `json:"instance"`
			Incarnation string         `json:"incarnation"`
		} `json:"body"`
	}
	if json.Unmarshal(rec.data, &e) != nil || m.seenIDs[e.ID] {
		return
	}
	m.seenIDs[e.ID] = true
	b := e.Body
	switch e.Kind {
	case "config.change":
		if b.Base != m.version {
			return
		}
		m.version = rec.offset
		m.versions = append(m.versions, rec)
		for _, c := range b.Changes {
			m.applyChange(rec.knownAt, c)
		}
	case "member.join":
		if old, ok := m.liveIncarnation[b.Instance]; ok && old != b.Incarnation {
			m.goneAt[old] = rec.knownAt
		}
		m.liveIncarnation[b.Instance] = b.Incarnation
	case "member.gone":
		if m.liveIncarnation[b.Instance] == b.Incarnation {
			delete(m.liveIncarnation, b.Instance)
			m.goneAt[b.Incarnation] = rec.knownAt
		}
	}
}

const forever = time.Duration(1 << 62)

func (m *referenceModel) applyChange(at time.Duration, c configEntry) {
	switch c.Section {
	case "keys":
		if len(c.Value) == 0 {
			m.withdrawn[c.ID] = at
		}
	case "data_centres":
		var dc struct{ State string }
		_ = json.Unmarshal(c.Value, &dc)
		spans := m.outSpans[c.ID]
		if len(spans) > 0 && spans[len(spans)-1][1] == forever {
			spans[len(spans)-1][1] = at
		}
		if dc.State == "out" {
			spans = append(spans, [2]time.Duration{at, forever})
		}
		m.outSpans[c.ID] = spans
	}
}

// check returns descriptions of the violations, by invariant.
func (h *history) check() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := newReferenceModel()
	for _, rec := range h.records {
		m.apply(rec)
	}
	violations := map[string][]string{}
	lastVersion := map[string]backing.Offset{}
	for _, w := range h.work {
		for id, reason := range m.violationsOf(w) {
			violations[id] = append(violations[id], fmt.Sprintf("%v %s: %s", w.at, w.instance, reason))
		}
		if w.version < lastVersion[w.incarnation] {
			violations["H15"] = append(violations["H15"], fmt.Sprintf("%v %s: version went back to %d", w.at, w.instance, w.version))
		}
		lastVersion[w.incarnation] = w.version
	}
	return violations
}

func (m *referenceModel) violationsOf(w workEvent) map[string]string {
	violations := map[string]string{}
	for _, key := range w.keys {
		if at, ok := m.withdrawn[key]; ok && w.at-propagationBound > at {
			violations["H6"] = fmt.Sprintf("key %s was withdrawn at %v", key, at)
		}
	}
	for _, span := range m.outSpans[w.dc] {
		if w.at-propagationBound > span[0] && w.at < span[1] {
			violations["H9"] = fmt.Sprintf("data centre %s has been out since %v", w.dc, span[0])
		}
	}
	for _, target := range append(w.targets, w.incarnation) {
		if at, ok := m.goneAt[target]; ok && w.at-propagationBound > at {
			violations["H13"] = fmt.Sprintf("%s has been gone since %v", target, at)
		}
	}
	for _, v := range m.versions {
		if w.at-configPropagationBound > v.knownAt && w.version < v.offset {
			violations["H15"] = fmt.Sprintf("version %d, but %d was accepted at %v", w.version, v.offset, v.knownAt)
		}
	}
	return violations
}
