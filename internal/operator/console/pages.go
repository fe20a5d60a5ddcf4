package console

import (
	"html/template"
)

type pages map[string]*template.Template
