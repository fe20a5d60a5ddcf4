// Command schemagen writes the JSON Schema of the configuration document from
// the Go types and their doc comments. Run it with `go generate ./internal/config`.
package main

import (
	"encoding/json"
	"log"
	"os"

	"github.com/invopop/jsonschema"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

const (
	configPackage = "github.com/jacinthbend/jacinthbend/internal/config"
	schemaFile    = "schema.json"
)

func main() {
	data, err := generate(configPackage, ".")
	if err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(schemaFile, data, 0o644); err != nil {
		log.Fatal(err)
	}
}

// generate returns the schema with descriptions from the comments of the
// sources in dir, whose import path is base joined with dir.
func generate(base, dir string) ([]byte, error) {
	r := &jsonschema.Reflector{Anonymous: true}
	if err := r.AddGoComments(base, dir, jsonschema.WithFullComment()); err != nil {
		return nil, err
	}
	schema := r.Reflect(&config.Document{})
	schema.Title = "jacinthbend configuration"
	data, err := json.MarshalIndent(schema, "", "  ")
	return append(data, '\n'), err
}
