package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// Archiver copies configuration changes from the control stream to the audit
// stream, in pages, and appends old pages again before the log drops them. One
// entry instance runs it. If two instances run it at the same time, the only
// effect is that entries are written more than once. An Archiver is not safe for
// concurrent use.
type Archiver struct {
	log      backing.Log
	source   Source
	settings ArchiverSettings
	// readThrough is the offset up to which the audit stream has been read.
	readThrough backing.Offset
	// pagedThrough is the offset in the control stream up to which entries are in
	// pages.
	pagedThrough backing.Offset
	// pages holds the newest copy of each page, oldest copy first.
	pages []pageRef
}

// NewArchiver returns an archiver that has not read the audit stream yet.
func NewArchiver(log backing.Log, source Source, settings ArchiverSettings) *Archiver {
	settings.LogRetention = cmp.Or(settings.LogRetention, 24*time.Hour)
	settings.EntryRetention = cmp.Or(settings.EntryRetention, 90*24*time.Hour)
	settings.PageEntries = cmp.Or(settings.PageEntries, 64)
	settings.MaxWait = min(cmp.Or(settings.MaxWait, 10*time.Minute), settings.LogRetention/4)
	return &Archiver{log: log, source: source, settings: settings}
}

// Run calls Step at every interval until ctx ends, but skips the intervals at
// which isWriter returns false. It passes errors to onError.
func (a *Archiver) Run(ctx context.Context, interval time.Duration, isWriter func() bool, onError func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !isWriter() {
			continue
		}
		if err := a.Step(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
	}
}

// Step reads new pages from the audit stream, writes pages for new entries and
// renews old pages. Call it about once a minute. After an error, the next step
// continues from what is in the stream.
func (a *Archiver) Step(ctx context.Context) error {
	if err := a.readNewPages(ctx); err != nil {
		return errors.Wrap(err, "read the audit stream")
	}
	if err := a.appendNewPages(ctx); err != nil {
		return errors.Wrap(err, "append an audit page")
	}
	return errors.Wrap(a.renewOldPages(ctx), "renew an audit page")
}

// readNewPages reads the audit stream from where it was last read.
func (a *Archiver) readNewPages(ctx context.Context) error {
	records, _, err := readAll(ctx, a.log, Stream, a.readThrough)
	if err != nil {
		return err
	}
	for _, r := range records {
		a.readThrough = r.Offset
		page, err := decodePage(r.Data)
		if err != nil {
			continue
		}
		a.pagedThrough = max(a.pagedThrough, page.Through)
		a.pages = slices.DeleteFunc(a.pages, func(p pageRef) bool { return p.through == page.Through })
		a.pages = append(a.pages, pageRef{offset: r.Offset, through: page.Through, writtenMS: page.WrittenMS})
	}
	return nil
}

// appendNewPages appends full pages of new entries. It also appends a page that is
// not full if its oldest entry has waited for MaxWait.
func (a *Archiver) appendNewPages(ctx context.Context) error {
	view := a.source.View()
	entries, complete := a.source.Since(a.pagedThrough)
	missing := false
	if !complete {
		var err error
		entries, missing, err = a.entriesFromLog(ctx, view)
		if err != nil {
			return err
		}
	}
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return e.Offset > view.Offset })
	waitingSince := time.Now().Add(-a.settings.MaxWait).UnixMilli()
	for len(entries) >= a.settings.PageEntries || len(entries) > 0 && entries[0].UnixMS <= waitingSince {
		n := min(len(entries), a.settings.PageEntries)
		page := Page{After: a.pagedThrough, Through: entries[n-1].Offset, Entries: entries[:n], Missing: missing}
		if err := a.appendPage(ctx, page); err != nil {
			return err
		}
		a.pagedThrough = page.Through
		entries, missing = entries[n:], false
	}
	return nil
}

// entriesFromLog returns the entries after pagedThrough from the log. It is used
// when the source does not have all of them. The second result says whether some
// of the records have expired.
func (a *Archiver) entriesFromLog(ctx context.Context, view *controlstate.View) ([]Entry, bool, error) {
	records, completeAfter, err := readAll(ctx, a.log, record.ControlStream, a.pagedThrough)
	if err != nil {
		return nil, false, err
	}
	records = slices.DeleteFunc(records, func(r backing.Record) bool { return r.Offset > view.Offset })
	return InferEntries(records, view.ConfigVersion), completeAfter > a.pagedThrough, nil
}

// renewOldPages appends the oldest pages again before they expire. It drops the
// entries that are older than EntryRetention, and the pages that have none left.
func (a *Archiver) renewOldPages(ctx context.Context) error {
	now := time.Now()
	renewBefore := now.Add(-a.settings.LogRetention / renewAgeDivisor).UnixMilli()
	for range maxRenewalsPerStep {
		if len(a.pages) == 0 || a.pages[0].writtenMS > renewBefore {
			return nil
		}
		oldest := a.pages[0].offset
		page, err := a.readPage(ctx, oldest)
		var expired *backing.ExpiredError
		if err != nil && !errors.As(err, &expired) {
			return err
		}
		// A page that expired while the log was unavailable is lost, but the other
		// pages still need to be renewed.
		page = page.withoutBefore(now.Add(-a.settings.EntryRetention).UnixMilli())
		if len(page.Entries) > 0 {
			if err := a.appendPage(ctx, page); err != nil {
				return err
			}
		}
		a.pages = slices.DeleteFunc(a.pages, func(p pageRef) bool { return p.offset == oldest })
	}
	return nil
}

// readPage reads one page from the audit stream.
func (a *Archiver) readPage(ctx context.Context, offset backing.Offset) (Page, error) {
	result, err := a.log.Read(ctx, Stream, offset-1, 1, 0)
	if err != nil {
		return Page{}, err
	}
	if len(result.Records) == 0 {
		return Page{}, errors.Errorf("audit page at offset %d is not in the stream", offset)
	}
	return decodePage(result.Records[0].Data)
}

// appendPage appends a page. A failed append may still have written the page, so
// appendPage then reads the stream and returns nil if it contains the page.
func (a *Archiver) appendPage(ctx context.Context, page Page) error {
	page.WrittenMS = time.Now().UnixMilli()
	data, err := page.encode()
	if err != nil {
		return err
	}
	_, err = a.log.Append(ctx, Stream, []json.RawMessage{data})
	if err == nil {
		return nil
	}
	if readErr := a.readNewPages(ctx); readErr != nil {
		return err
	}
	written := func(p pageRef) bool { return p.through == page.Through && p.writtenMS == page.WrittenMS }
	if !slices.ContainsFunc(a.pages, written) {
		return err
	}
	return nil
}
