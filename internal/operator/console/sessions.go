package console

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"io"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// maxSessions bounds the memory of the sessions.
	maxSessions = 256
	// secretBytes gives session ids and CSRF tokens 256 random bits, so that nobody
	// can guess them.
	secretBytes = 32
	// loginsPerS and loginBurst limit the failed sign-ins of all callers together,
	// so that nobody can guess the operator token.
	loginsPerS = 1
	loginBurst = 10
)

// sessions holds the sessions of the operators signed in at this instance. They are
// kept only in memory, because instances store no state, so they are lost when the
// process ends.
type sessions struct {
	mu     sync.Mutex
	random io.Reader
	ttl    time.Duration
	byID   *lru.Cache[string, *session]
	// failedLogins limits the rate of failed sign-ins of all callers together.
	failedLogins *rate.Limiter
}

func newSessions(settings Settings) *sessions {
	byID, err := lru.New[string, *session](maxSessions)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &sessions{
		random:       settings.Random,
		ttl:          settings.SessionTTL,
		byID:         byID,
		failedLogins: rate.NewLimiter(loginsPerS, loginBurst),
	}
}

// token returns a new random token.
func (s *sessions) token() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := make([]byte, secretBytes)
	if _, err := io.ReadFull(s.random, raw); err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

func (s *sessions) start(author string) (*session, error) {
	id, err := s.token()
	if err != nil {
		return nil, err
	}
	csrf, err := s.token()
	if err != nil {
		return nil, err
	}
	started := &session{id: id, author: author, csrf: csrf, expires: time.Now().Add(s.ttl)}
	s.byID.Add(id, started)
	return started, nil
}

func (s *sessions) find(id string) *session {
	found, ok := s.byID.Get(id)
	if !ok {
		return nil
	}
	if time.Now().After(found.expires) {
		s.byID.Remove(id)
		return nil
	}
	return found
}

func (s *sessions) end(id string) { s.byID.Remove(id) }

// equalSecrets compares two secrets in constant time, even if their lengths differ.
func equalSecrets(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
