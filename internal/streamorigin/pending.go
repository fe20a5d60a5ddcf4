package streamorigin

// maxPending bounds the streams that wait to be written while the log does not take them. The
// record of so many has about 80 kB.
const maxPending = 4096

// pending are the streams to write with the next record.
type pending struct {
	began     map[Origin][]key
	ambiguous map[string][]key
	n         int
}

func newPending() *pending {
	return &pending{began: make(map[Origin][]key), ambiguous: make(map[string][]key)}
}

// add adds a stream, unless there are too many.
func (p *pending) add(k key, e *entry) {
	if p.n >= maxPending {
		return
	}
	p.n++
	if e.ambiguous {
		p.ambiguous[e.origin.Service] = append(p.ambiguous[e.origin.Service], k)
		return
	}
	p.began[e.origin] = append(p.began[e.origin], k)
}

// record returns the record of the streams.
func (p *pending) record(atMS int64, severalMS func(service string) int64) record {
	r := record{AtMS: atMS, Services: make(map[string]serviceRecord)}
	of := func(service string) serviceRecord {
		s, ok := r.Services[service]
		if !ok {
			s = serviceRecord{SeveralMS: severalMS(service), Began: make(map[string][]string)}
		}
		return s
	}
	for o, keys := range p.began {
		s := of(o.Service)
		for _, k := range keys {
			s.Began[o.Version] = append(s.Began[o.Version], k.encode())
		}
		r.Services[o.Service] = s
	}
	for service, keys := range p.ambiguous {
		s := of(service)
		for _, k := range keys {
			s.Ambiguous = append(s.Ambiguous, k.encode())
		}
		r.Services[service] = s
	}
	return r
}
