package budget

import "context"

// Peer calls the owners of shares on other instances.
type Peer interface {
	// Grant sends the request to the peer listener at addr. After an error the
	// owner may or may not have issued tokens; such tokens expire unused.
	Grant(ctx context.Context, addr string, req GrantRequest) (GrantResponse, error)
}
