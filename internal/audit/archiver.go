package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// Archiver writes the audit stream. One instance of the fleet runs it, the
// first in hash order; a second one at the same time only repeats pages. A
// Archiver is not safe for concurrent use.
type Archiver struct {
	log      platform.Log
	source   Source
	settings ArchiverSettings
	// read is the offset up to which the audit stream is indexed.
	read platform.Offset
	// through is the control offset up to which entries are paged.
	through platform.Offset
	// pages are the newest copies of each range, oldest copy first.
	pages []pageIndex
}

// NewArchiver returns a carrier that has not read anything yet.
func NewArchiver(log platform.Log, source Source, settings ArchiverSettings) *Archiver {
	settings.LogRetention = cmp.Or(settings.LogRetention, 24*time.Hour)
	settings.EntryRetention = cmp.Or(settings.EntryRetention, 90*24*time.Hour)
	settings.PageEntries = cmp.Or(settings.PageEntries, 64)
	settings.MaxWait = min(cmp.Or(settings.MaxWait, 10*time.Minute), settings.LogRetention/4)
	return &Archiver{log: log, source: source, settings: settings}
}

// Run calls Step at every interval while this instance is the writer, until
// ctx ends. Errors go to report.
func (c *Archiver) Run(ctx context.Context, every time.Duration, writer func() bool, report func(error)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !writer() {
			continue
		}
		if err := c.Step(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
	}
}

// Step reads what is new in the audit stream, pages the entries that wait and
// carries old pages forward. Call it about once a minute. After an error the
// next step starts from what the stream holds.
func (c *Archiver) Step(ctx context.Context) error {
	if err := c.index(ctx); err != nil {
		return errors.Wrap(err, "read the audit stream")
	}
	if err := c.pageNew(ctx); err != nil {
		return errors.Wrap(err, "append an audit page")
	}
	return errors.Wrap(c.carryOld(ctx), "carry an audit page forward")
}

// index reads the audit stream from where the last step ended.
func (c *Archiver) index(ctx context.Context) error {
	records, _, err := readAll(ctx, c.log, Stream, c.read)
	if err != nil {
		return err
	}
	for _, r := range records {
		c.read = r.Offset
		page, err := decodePage(r.Data)
		if err != nil {
			continue
		}
		c.through = max(c.through, page.Through)
		c.pages = slices.DeleteFunc(c.pages, func(p pageIndex) bool { return p.through == page.Through })
		c.pages = append(c.pages, pageIndex{offset: r.Offset, through: page.Through, writtenMS: page.WrittenMS})
	}
	return nil
}

// pageNew appends a page when enough entries wait or the oldest waits too long.
func (c *Archiver) pageNew(ctx context.Context) error {
	view := c.source.View()
	entries, complete := c.source.Since(c.through)
	missing := false
	if !complete {
		var err error
		entries, missing, err = c.fromLog(ctx, view)
		if err != nil {
			return err
		}
	}
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return e.Offset > view.Offset })
	oldest := time.Now().Add(-c.settings.MaxWait).UnixMilli()
	for len(entries) >= c.settings.PageEntries || len(entries) > 0 && entries[0].UnixMS <= oldest {
		n := min(len(entries), c.settings.PageEntries)
		page := Page{After: c.through, Through: entries[n-1].Offset, Entries: entries[:n], Missing: missing}
		if err := c.append(ctx, page); err != nil {
			return err
		}
		c.through = page.Through
		entries, missing = entries[n:], false
	}
	return nil
}

// fromLog judges the control records that this instance has not observed.
func (c *Archiver) fromLog(ctx context.Context, view *fold.View) ([]Entry, bool, error) {
	records, from, err := readAll(ctx, c.log, record.ControlStream, c.through)
	if err != nil {
		return nil, false, err
	}
	records = slices.DeleteFunc(records, func(r platform.Record) bool { return r.Offset > view.Offset })
	return InferEntries(records, view.ConfigVersion), from > c.through, nil
}

// carryOld appends the oldest pages again before they expire. Entries past
// KeepFor are left out, and a page without entries is not carried.
func (c *Archiver) carryOld(ctx context.Context) error {
	now := time.Now()
	due := now.Add(-c.settings.LogRetention / carryFraction).UnixMilli()
	for range carryPerStep {
		if len(c.pages) == 0 || c.pages[0].writtenMS > due {
			return nil
		}
		head := c.pages[0].offset
		page, err := c.page(ctx, head)
		var expired *platform.ExpiredError
		if err != nil && !errors.As(err, &expired) {
			return err
		}
		// A page that expired during an outage of the log is lost; the others
		// still have to be carried.
		page = page.without(now.Add(-c.settings.EntryRetention).UnixMilli())
		if len(page.Entries) > 0 {
			if err := c.append(ctx, page); err != nil {
				return err
			}
		}
		c.pages = slices.DeleteFunc(c.pages, func(p pageIndex) bool { return p.offset == head })
	}
	return nil
}

// page reads one page of the stream.
func (c *Archiver) page(ctx context.Context, offset platform.Offset) (Page, error) {
	read, err := c.log.Read(ctx, Stream, offset-1, 1, 0)
	if err != nil {
		return Page{}, err
	}
	if len(read.Records) == 0 {
		return Page{}, errors.Errorf("audit page at offset %d is not in the stream", offset)
	}
	return decodePage(read.Records[0].Data)
}

// append writes a page. A lost answer is settled by reading the stream: a
// page that is there was written.
func (c *Archiver) append(ctx context.Context, page Page) error {
	page.WrittenMS = time.Now().UnixMilli()
	data, err := page.encode()
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, Stream, []json.RawMessage{data})
	if err == nil {
		return nil
	}
	if readErr := c.index(ctx); readErr != nil {
		return err
	}
	written := func(p pageIndex) bool { return p.through == page.Through && p.writtenMS == page.WrittenMS }
	if !slices.ContainsFunc(c.pages, written) {
		return err
	}
	return nil
}
