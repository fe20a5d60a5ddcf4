package dev

import (
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/configcheck"
	"github.com/matryer/is"
)

// TestDemoConfig guards against a demonstration that shows users a configuration with
// errors or warnings.
func TestDemoConfig(t *testing.T) {
	is := is.New(t)
	doc, problems := config.Apply(config.Document{}, demoConfig().Changes)
	is.Equal(len(problems), 0)
	is.Equal(len(config.Validate(doc)), 0)
	is.Equal(len(configcheck.Warnings(doc, nil)), 0)
}
