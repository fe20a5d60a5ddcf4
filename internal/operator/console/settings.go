package console

import (
	"io"
	"time"
)

// Settings are the settings of a Console.
type Settings struct {
	// Token is the operator token from the process settings. If it is empty,
	// nobody can sign in.
	Token string
	// SessionTTL is the maximum lifetime of a session. Default 8 h.
	SessionTTL time.Duration
	// SecureCookies makes browsers send the cookies over TLS only. Set it if the
	// listener, or a proxy in front of it, uses TLS.
	SecureCookies bool
	// PublishTimeout bounds one publication. Default 10 s.
	PublishTimeout time.Duration
	// Random is the source of session ids and CSRF tokens. Default crypto/rand.
	Random io.Reader
}
