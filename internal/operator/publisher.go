package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

// Limits of the reason and author of a publication. They are bounded because
// every instance reads them with the control stream.
const (
	maxReasonBytes = 500
	maxAuthorBytes = 100
)

// Publisher publishes configuration changes. It is safe for concurrent use.
type Publisher struct {
	stream  Stream
	history History
	// skipBaseCheck makes Publish append changes with a stale base. A test sets
	// it to show that it detects a missing base-version check.
	skipBaseCheck bool
}

// NewPublisher returns a publisher that appends to stream. A nil history is
// allowed; conflicts then have no Winner, Difference or Overlap.
func NewPublisher(stream Stream, history History) *Publisher {
	return &Publisher{stream: stream, history: history}
}

// View returns the newest view of the control stream.
func (p *Publisher) View() *controlstate.View { return p.stream.View() }

// Publish applies the changes to version base and publishes the result. Its
// errors are of these kinds: ConfigInvalid with config.Problems as cause,
// ConfigConflict with a *Conflict as cause, InvalidRequest, ViewStale if base is
// newer than this instance's view, and those of Appender. After an error whose
// Ran is errkind.RanNo, nothing took effect.
//
// If the current version already has the changes, Publish appends nothing and
// succeeds, so an operator can repeat a publication after the publisher was
// killed.
func (p *Publisher) Publish(ctx context.Context, base backing.Offset, changes []record.EntryChange, reason, author string) (Publication, error) {
	if err := checkTexts(reason, author); err != nil {
		return Publication{}, err
	}
	view := p.stream.View()
	if base > view.ConfigVersion {
		return Publication{}, errkind.New(errkind.ViewStale,
			fmt.Sprintf("this instance has read up to version %d and does not know version %d yet", view.ConfigVersion, base))
	}
	doc := view.Document()
	next, effective, err := applyChanges(doc, changes)
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
	if problems := config.Validate(next); len(problems) > 0 && !onlyWithdrawsKeys(effective) {
		return Publication{}, invalidConfig(problems)
	}
	return p.append(ctx, record.ConfigChange{Base: base, Author: author, Reason: reason, Changes: effective})
}

// onlyWithdrawsKeys reports whether every change deletes a key. Publish accepts
// such changes even if the document is invalid. An operator must be able to
// withdraw a leaked key even if a newer release has added a rule that the current
// document breaks.
func onlyWithdrawsKeys(changes []record.EntryChange) bool {
	return !slices.ContainsFunc(changes, func(c record.EntryChange) bool {
		return c.Section != record.SectionKeys || len(c.Value) > 0
	})
}

// applyChanges returns doc with the changes applied, and the changes that have an
// effect on doc.
func applyChanges(doc config.Document, changes []record.EntryChange) (config.Document, []record.EntryChange, error) {
	next, problems := config.Apply(doc, changes)
	if len(problems) > 0 {
		return doc, nil, invalidConfig(problems)
	}
	return next, config.DiffChanged(doc, next, changes), nil
}

func (p *Publisher) append(ctx context.Context, change record.ConfigChange) (Publication, error) {
	result, offset, err := p.stream.Append(ctx, change)
	if err != nil {
		return Publication{}, withKind(err)
	}
	if result.Applied {
		return Publication{Version: offset, Changes: change.Changes}, nil
	}
	version := p.stream.View().ConfigVersion
	if version != change.Base {
		return Publication{}, conflictError(newConflict(change.Base, version, change.Changes, p.history))
	}
	return Publication{}, errkind.New(errkind.ConfigInvalid, "the change was rejected: "+result.Reason)
}

// withKind returns err if it has an error kind. Otherwise it wraps err as
// OutcomeUnknown, because the change may have been published.
func withKind(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	return errkind.Wrap(errkind.OutcomeUnknown, "it is unknown whether the change was published; check the history before publishing again", err)
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

func invalidConfig(problems config.Problems) error {
	return errkind.Wrap(errkind.ConfigInvalid, fmt.Sprintf("the configuration has %d errors", len(problems)), problems)
}

func conflictError(c *Conflict) error {
	return errkind.Wrap(errkind.ConfigConflict, "another change was published first", c)
}
