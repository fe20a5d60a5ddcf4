package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

func (c *Commands) registerKeys(app *kingpin.Application) {
	group := app.Command("key", "Issue, withdraw and list the keys of teams.")
	c.flags.addOutput(group)
	c.registerKeyIssue(group)
	c.registerKeyWithdraw(group)
	c.registerKeyList(group)
}

func (c *Commands) registerKeyIssue(group *kingpin.CmdClause) {
	cmd := group.Command("issue", "Issue a new key. Its secret is printed once and not stored; give it to the team.")
	c.flags.addLog(cmd)
	c.flags.addAuthor(cmd)
	team := cmd.Arg("team", "Id of the team.").Required().String()
	note := cmd.Flag("note", "Note that is listed with the key, at most 200 bytes.").String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		key, err := s.publisher.IssueKey(ctx, *team, *note, c.flags.author)
		return issuedKey{key}, err
	})
}

func (c *Commands) registerKeyWithdraw(group *kingpin.CmdClause) {
	cmd := group.Command("withdraw", "Withdraw a key. It stops working within seconds, also on open connections.")
	c.flags.addLog(cmd)
	c.flags.addAuthor(cmd)
	id := cmd.Arg("id", "Id of the key, as printed by `key list`.").Required().String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		got, err := s.publisher.WithdrawKey(ctx, *id, c.flags.reason, c.flags.author)
		return publishResult{got}, err
	})
}

func (c *Commands) registerKeyList(group *kingpin.CmdClause) {
	cmd := group.Command("list", "List the current keys, without their secrets.")
	c.flags.addLog(cmd)
	team := cmd.Flag("team", "List only the keys of this team.").String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		return keyList{Keys: s.publisher.ListKeys(*team)}, nil
	})
}
