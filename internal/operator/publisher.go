package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// Bounds on the texts of a publication, in bytes. Every instance folds them.
const (
	maxReasonBytes = 500
	maxAuthorBytes = 100
)

// Publisher publishes configuration changes. It is safe for concurrent use.
type Publisher struct {
	stream  Stream
	history History
	// skipBaseCheck sends changes with a stale base, for the negative control
	// of the base-version rule.
	skipBaseCheck bool
}

// NewPublisher returns a publisher over the stream. A nil history is allowed;
// conflicts then name no winner.
func NewPublisher(stream Stream, history History) *Publisher {
	return &Publisher{stream: stream, history: history}
}

// View returns the newest view.
func (p *Publisher) View() *fold.View { return p.stream.View() }

// Publish applies the changes to version base and publishes the result. Its
// errors are of these kinds: ConfigInvalid with config.Problems as cause,
// ConfigConflict with a *Conflict as cause, InvalidRequest, ViewStale when the
// base is newer than this instance's view, and those of Appender. After
// an error that claims errkind.RanNo nothing took effect.
//
// Publishing changes that are in force already appends nothing and succeeds,
// so a publisher that was killed can repeat what it did.
func (p *Publisher) Publish(ctx context.Context, base platform.Offset, changes []record.EntryChange, reason, author string) (Publication, error) {
	if err := checkTexts(reason, author); err != nil {
		return Publication{}, err
	}
	view := p.stream.View()
	if base > view.ConfigVersion {
		return Publication{}, errkind.New(errkind.ViewStale,
			fmt.Sprintf("this instance has read up to version %d, not yet to version %d", view.ConfigVersion, base))
	}
	doc := view.Document()
	next, effective, err := result(doc, changes)
	stale := base != view.ConfigVersion && !p.skipBaseCheck
	if err == nil && len(effective) == 0 {
		return Publication{Version: view.ConfigVersion, Unchanged: true}, nil
	}
	if stale {
		return Publication{}, conflictError(newConflict(base, view.ConfigVersion, changes, p.history))
	}
	if err != nil {
		return Publication{}, err
	}
	if problems := config.Validate(next); len(problems) > 0 && !withdrawsKeys(effective) {
		return Publication{}, invalid(problems)
	}
	return p.append(ctx, record.ConfigChange{Base: base, Author: author, Reason: reason, Changes: effective})
}

// withdrawsKeys reports whether the changes do nothing but delete keys. Such a
// change is never refused for errors elsewhere in the document: a rule that a
// newer version has tightened must not keep a leaked key alive.
func withdrawsKeys(changes []record.EntryChange) bool {
	return !slices.ContainsFunc(changes, func(c record.EntryChange) bool {
		return c.Section != record.SectionKeys || len(c.Value) > 0
	})
}

// result returns the document after the changes, and those of the changes
// that differ from doc.
func result(doc config.Document, changes []record.EntryChange) (config.Document, []record.EntryChange, error) {
	next, problems := config.Apply(doc, changes)
	if len(problems) > 0 {
		return doc, nil, invalid(problems)
	}
	return next, config.DiffChanged(doc, next, changes), nil
}

func (p *Publisher) append(ctx context.Context, change record.ConfigChange) (Publication, error) {
	verdict, offset, err := p.stream.Append(ctx, change)
	if err != nil {
		return Publication{}, withKind(err)
	}
	if verdict.Applied {
		return Publication{Version: offset, Changes: change.Changes}, nil
	}
	version := p.stream.View().ConfigVersion
	if version != change.Base {
		return Publication{}, conflictError(newConflict(change.Base, version, change.Changes, p.history))
	}
	return Publication{}, errkind.New(errkind.ConfigInvalid, "the change is void: "+verdict.Reason)
}

// withKind returns err, which claims nothing about the change unless it has a
// kind of its own.
func withKind(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	return errkind.Wrap(errkind.OutcomeUnknown, "whether the change was published is not known; look for it in the history before publishing again", err)
}

func checkTexts(reason, author string) error {
	if author == "" {
		return errkind.New(errkind.InvalidRequest, "a publication needs an author")
	}
	if len(author) > maxAuthorBytes {
		return errkind.New(errkind.InvalidRequest, fmt.Sprintf("the author must have at most %d bytes", maxAuthorBytes))
	}
	if len(reason) > maxReasonBytes {
		return errkind.New(errkind.InvalidRequest, fmt.Sprintf("the reason must have at most %d bytes", maxReasonBytes))
	}
	return nil
}

func invalid(problems config.Problems) error {
	return errkind.Wrap(errkind.ConfigInvalid, fmt.Sprintf("the configuration has %d errors", len(problems)), problems)
}

func conflictError(c *Conflict) error {
	return errkind.Wrap(errkind.ConfigConflict, "another change was published first", c)
}
