package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const bearerPrefix = "Bearer "

// authenticate sets the request's team and key id from the API key in the
// Authorization header.
func authenticate(v *controlstate.View, c *app.RequestContext, info *requestInfo) error {
	secret, ok := bearerToken(c.Request.Header.Get("Authorization"))
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the Authorization header has no bearer token")
	}
	if len(secret) > maxBearerTokenBytes {
		return errkind.New(errkind.Unauthenticated, "the bearer token in the Authorization header has more than "+strconv.Itoa(maxBearerTokenBytes)+" bytes")
	}
	sum := sha256.Sum256([]byte(secret))
	id, ok := v.KeyIDByHash.Get(hex.EncodeToString(sum[:]))
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the API key is unknown")
	}
	key, _ := v.Keys.Get(id)
	if _, ok := v.Teams.Get(key.Team); !ok {
		return errkind.New(errkind.Unauthenticated, "the team of the API key does not exist")
	}
	info.keyID, info.team = id, key.Team
	return nil
}

// bearerToken returns the token of an Authorization header. The scheme name is
// case-insensitive (RFC 9110).
func bearerToken(header string) (string, bool) {
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return header[len(bearerPrefix):], true
}

// readHeaders sets the request's class and deadline, and checks the size of the
// body.
func readHeaders(v *controlstate.View, c *app.RequestContext, info *requestInfo) error {
	limits := v.Limits.WithDefaults()
	info.class = dispatch.ClassNormal
	if h := c.Request.Header.Get(headerClass); h != "" {
		info.class = dispatch.Class(h)
	}
	if !info.class.Valid() {
		return errkind.New(errkind.InvalidRequest, headerClass+" must be urgent, normal or bulk")
	}
	ms := limits.DefaultDeadlineMS
	if h := c.Request.Header.Get(headerDeadlineMS); h != "" {
		n, err := strconv.Atoi(h)
		if err != nil || n <= 0 || n > limits.MaxDeadlineMS {
			return errkind.New(errkind.InvalidRequest, headerDeadlineMS+" must be from 1 to "+strconv.Itoa(limits.MaxDeadlineMS)+" milliseconds")
		}
		ms = n
	}
	info.deadline = info.start.Add(time.Duration(ms) * time.Millisecond)
	if n := len(c.Request.Body()); n > limits.MaxBodyBytes {
		return errkind.New(errkind.BodyTooLarge, "the body has "+strconv.Itoa(n)+" bytes, the limit is "+strconv.Itoa(limits.MaxBodyBytes))
	}
	return nil
}

// teamAllowed reports whether team is in teams. An empty list allows every team.
func teamAllowed(teams []string, team string) bool {
	return len(teams) == 0 || slices.Contains(teams, team)
}
