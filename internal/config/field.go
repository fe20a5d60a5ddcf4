package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// FieldKind is the JSON type of a field.
type FieldKind string

// Kinds of field.
const (
	FieldString  FieldKind = "string"
	FieldInteger FieldKind = "integer"
	FieldNumber  FieldKind = "number"
	FieldBoolean FieldKind = "boolean"
	FieldArray   FieldKind = "array"
)

// Field describes one field of a section's entries, for the forms of the console
// and for the documentation.
type Field struct {
	// Name is the JSON name.
	Name string
	Kind FieldKind
	// Required fields have no default.
	Required bool
	// Options are the allowed values; empty means any value.
	Options []string
	// Help is the doc comment of the field, with unit and default.
	Help string
}

// zeroEntries holds a zero value of the entry type of each section.
var zeroEntries = map[record.Section]any{
	record.SectionTeams:       Team{},
	record.SectionKeys:        Key{},
	record.SectionDataCentres: DataCentre{},
	record.SectionPools:       Pool{},
	record.SectionModels:      Model{},
	record.SectionAdapters:    Adapter{},
	record.SectionRoutes:      Route{},
	record.SectionLimits:      Limits{},
}

// enumValues lists the allowed values of the string types that are enums.
var enumValues = map[reflect.Type][]string{
	reflect.TypeFor[PoolKind]():        {string(PoolEngine), string(PoolService)},
	reflect.TypeFor[DataCentreState](): {string(DataCentreIn), string(DataCentreOut)},
}

// descriptions holds the descriptions of the schema by definition and property.
// The description of the definition itself is stored under the property "".
var descriptions = sync.OnceValue(func() map[string]map[string]string {
	type definition struct {
		Description string `json:"description"`
		Properties  map[string]struct {
			Description string `json:"description"`
		} `json:"properties"`
	}
	var schema struct {
		Defs map[string]definition `json:"$defs"`
	}
	if err := json.Unmarshal(schemaJSON, &schema); err != nil {
		panic(err) // The embedded schema is part of the build.
	}
	out := make(map[string]map[string]string)
	for name, def := range schema.Defs {
		out[name] = map[string]string{"": def.Description}
		for property, p := range def.Properties {
			out[name][property] = p.Description
		}
	}
	return out
})

// SectionHelp returns the doc comment of a section's entries.
func SectionHelp(section record.Section) string {
	return descriptions()[schemaDefinitions[section]][""]
}

// Fields returns the fields of a section's entries in the order of the Go type,
// or nil for an unknown section.
func Fields(section record.Section) []Field {
	value, ok := zeroEntries[section]
	if !ok {
		return nil
	}
	t := reflect.TypeOf(value)
	out := make([]Field, t.NumField())
	for i := range out {
		f := t.Field(i)
		name, rest, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[i] = Field{
			Name:     name,
			Kind:     fieldKind(f.Type),
			Required: !strings.Contains(rest, "omit"),
			Options:  enumValues[f.Type],
			Help:     descriptions()[schemaDefinitions[section]][name],
		}
	}
	return out
}

func fieldKind(t reflect.Type) FieldKind {
	switch t.Kind() {
	case reflect.Bool:
		return FieldBoolean
	case reflect.Int, reflect.Int64:
		return FieldInteger
	case reflect.Float64:
		return FieldNumber
	case reflect.Slice:
		return FieldArray
	default:
		return FieldString
	}
}
