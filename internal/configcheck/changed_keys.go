package configcheck

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// removedKey reports a key that is missing from the new document. Its secret works on
// if another key has the same digest.
func (c *comparison) removedKey(id string, path config.Path, old config.Key) {
	switch other, ok := c.keyWithDigest(old.SHA256); {
	case !ok:
		c.found.risk(CodeKeyWithdrawn, path, "%s is withdrawn: its holder gets 401 within seconds; make sure that nobody uses it", describeKey(id, old))
	case c.next.Keys[other].Team != old.Team:
		c.found.risk(CodeKeyMoved, path, "the secret of %s acts for team %q as key %q; make sure that this is meant", describeKey(id, old), c.next.Keys[other].Team, other)
	default:
		c.found.change(CodeKeyRenamed, path, "%s is renamed to %q; its secret works on", describeKey(id, old), other)
	}
}

func (c *comparison) keyWithDigest(digest string) (string, bool) {
	if c.idByDigest == nil {
		c.idByDigest = make(map[string]string, len(c.next.Keys))
		for id, key := range c.next.Keys {
			c.idByDigest[key.SHA256] = id
		}
	}
	id, ok := c.idByDigest[digest]
	return id, ok
}

func (c *comparison) changedKey(id string, path config.Path, old, next config.Key) {
	if old.SHA256 != next.SHA256 {
		// The old secret may work on under another key id.
		if _, ok := c.keyWithDigest(old.SHA256); ok {
			c.found.risk(CodeKeyReplaced, path.Field("sha256"), "%s gets another secret; the former one belongs to another key", describeKey(id, old))
		} else {
			c.found.risk(CodeKeyReplaced, path.Field("sha256"), "%s gets another secret: holders of the former one get 401 within seconds; give them the new one first", describeKey(id, old))
		}
	}
	if old.Team != next.Team {
		c.found.risk(CodeKeyMoved, path.Field("team"), "%s acts for team %q, and spends its tokens; make sure that this is meant", describeKey(id, old), next.Team)
	}
	if old.Note != next.Note {
		c.found.change(CodeChanged, path.Field("note"), "the note changes from %q to %q", old.Note, next.Note)
	}
}

func describeKey(id string, key config.Key) string {
	text := fmt.Sprintf("key %q of team %q", id, key.Team)
	if key.Note != "" {
		text += fmt.Sprintf(" (note %q)", key.Note)
	}
	return text
}
