package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/operator"
)

type issuedKey struct{ operator.IssuedKey }

func (r issuedKey) writeText(w io.Writer) {
	fmt.Fprintf(w, "Key\t%s\nTeam\t%s\nVersion\t%d\nSecret\t%s\n", r.ID, r.Team, r.Version, r.Secret)
	fmt.Fprintln(w, "The secret is not shown again.")
}
