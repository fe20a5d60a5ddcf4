package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

//go:generate go run ./schemagen

//go:embed schema.json
var schemaJSON []byte

const schemaURL = "https://jacinthbend.invalid/config.schema.json"

// Schema returns the JSON Schema of the document.
func Schema() []byte { return bytes.Clone(schemaJSON) }

// schemaDefinitions names the schema definition of each section's entries.
var schemaDefinitions = map[record.Section]string{
	record.SectionTeams:       "Team",
	record.SectionKeys:        "Key",
	record.SectionDataCentres: "DataCentre",
	record.SectionPools:       "Pool",
	record.SectionModels:      "Model",
	record.SectionAdapters:    "Adapter",
	record.SectionRoutes:      "Route",
	record.SectionLimits:      "Limits",
}

// compiledSchemas holds the schema of the whole document under "" and the schema
// of each section's entries under the section. It panics on an error, because
// the schema is embedded at build time and the tests compile it.
var compiledSchemas = sync.OnceValue(func() map[record.Section]*jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic(err)
	}
	out := map[record.Section]*jsonschema.Schema{"": c.MustCompile(schemaURL)}
	for section, name := range schemaDefinitions {
		out[section] = c.MustCompile(schemaURL + "#/$defs/" + name)
	}
	return out
})

// checkSchema returns the structural problems of the JSON form of one entry, or
// of a whole document if section is "".
func checkSchema(section record.Section, path Path, data []byte) Problems {
	var problems Problems
	checkDuplicates(data, path, &problems)
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		problems.add(RuleSyntax, path, string(data), "not valid JSON: %v", err)
		return problems
	}
	err = compiledSchemas()[section].Validate(value)
	invalid, ok := err.(*jsonschema.ValidationError)
	if ok {
		problems.addSchemaErrors(path, value, invalid)
	}
	return problems.sorted()
}

// addSchemaErrors adds a problem for each leaf of a tree of schema errors.
func (ps *Problems) addSchemaErrors(root Path, doc any, e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		ps.addSchemaErrors(root, doc, cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	path, value := locate(root, doc, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			ps.add(RuleUnknownField, path.Field(name), nil, "unknown field")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			ps.add(RuleMissingField, path.Field(name), nil, "required field is missing")
		}
	case *kind.Type:
		ps.add(RuleType, path, displayValue(value), "must be of type %s, not %s", k.Want[0], k.Got)
	default:
		ps.add(RuleType, path, displayValue(value), "does not match the schema")
	}
}

// locate returns the path and the value to which the tokens of a schema error
// point. It needs the document to tell array indexes from member names.
func locate(path Path, value any, tokens []string) (Path, any) {
	for _, token := range tokens {
		switch v := value.(type) {
		case []any:
			i, err := strconv.Atoi(token)
			if err != nil || i < 0 || i >= len(v) {
				return path, nil
			}
			path, value = path.Index(i), v[i]
		case map[string]any:
			path, value = path.Field(token), v[token]
		}
	}
	return path, value
}

// displayValue returns scalars as they are and other values as JSON text.
func displayValue(value any) any {
	switch value.(type) {
	case nil:
		return nil
	case string, json.Number, bool:
		return value
	default:
		return string(encode(value))
	}
}
