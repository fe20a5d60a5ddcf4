package operator

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

const (
	// secretBytes gives a secret 256 random bits, so that nobody can find it from
	// its stored digest by brute force.
	secretBytes = 32
	// keyIDBytes gives a key id 64 random bits; ids collide after about 2^32 keys.
	keyIDBytes = 8
	// secretPrefix lets secret scanners recognise a leaked key.
	secretPrefix = "jbk_"
)

// IssueKey publishes a new key for a team and returns its secret. After an
// error whose Ran is not errkind.RanNo, the key may have been published although
// its secret is lost; the error's message has its id.
func (p *Publisher) IssueKey(ctx context.Context, team, note, author string) (IssuedKey, error) {
	return p.issueKey(ctx, rand.Reader, team, note, author)
}

func (p *Publisher) issueKey(ctx context.Context, random io.Reader, team, note, author string) (IssuedKey, error) {
	raw := make([]byte, secretBytes+keyIDBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return IssuedKey{}, errors.Wrap(err, "read random bytes")
	}
	key := IssuedKey{
		ID:     "key-" + hex.EncodeToString(raw[secretBytes:]),
		Team:   team,
		Secret: secretPrefix + base64.RawURLEncoding.EncodeToString(raw[:secretBytes]),
	}
	change, err := putChange(record.SectionKeys, key.ID, config.Key{Team: team, SHA256: config.HashSecret(key.Secret), Note: note})
	if err != nil {
		return IssuedKey{}, err
	}
	key.Publication, err = p.Update(ctx, "issue key "+key.ID, author, func(config.Document) ([]record.EntryChange, error) {
		return []record.EntryChange{change}, nil
	})
	if err != nil {
		return IssuedKey{}, errors.WithMessagef(err, "issue key %s", key.ID)
	}
	return key, nil
}

// WithdrawKey deletes a key. Withdrawing a key that does not exist is an
// error of kind InvalidRequest.
func (p *Publisher) WithdrawKey(ctx context.Context, id, reason, author string) (Publication, error) {
	return p.Update(ctx, reason, author, func(doc config.Document) ([]record.EntryChange, error) {
		if _, ok := doc.Keys[id]; !ok {
			return nil, errkind.New(errkind.InvalidRequest, fmt.Sprintf("there is no key %q", id))
		}
		return []record.EntryChange{{Section: record.SectionKeys, ID: id}}, nil
	})
}

// ListKeys returns the keys of the current version in the order of their ids.
// A non-empty team selects the keys of that team.
func (p *Publisher) ListKeys(team string) []KeyInfo {
	doc := p.stream.View().Document()
	out := []KeyInfo{}
	for _, id := range config.EntryIDs(doc, record.SectionKeys) {
		key := doc.Keys[id]
		if team == "" || key.Team == team {
			out = append(out, KeyInfo{ID: id, Team: key.Team, SHA256: key.SHA256, Note: key.Note})
		}
	}
	return out
}

// putChange returns the change that sets an entry to value.
func putChange(section record.Section, id string, value any) (record.EntryChange, error) {
	data, err := json.Marshal(value)
	return record.EntryChange{Section: section, ID: id, Value: data}, errors.Wrapf(err, "encode %s/%s", section, id)
}
