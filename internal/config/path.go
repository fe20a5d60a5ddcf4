package config

import (
	"regexp"
	"strconv"
	"strings"
)

// Path is a JSON path into the document, such as $.teams.alpha.weight or
// $.models['llama-3.1'].teams[2].
type Path string

// Root is the path of the whole document.
const Root Path = "$"

var quoteEscapes = strings.NewReplacer(`\`, `\\`, `'`, `\'`)

var plainName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// Field returns the path of the member called name.
func (p Path) Field(name string) Path {
	if plainName.MatchString(name) {
		return p + "." + Path(name)
	}
	return p + Path("['"+quoteEscapes.Replace(name)+"']")
}

// Index returns the path of the array element i, counted from 0.
func (p Path) Index(i int) Path {
	return p + Path("["+strconv.Itoa(i)+"]")
}
