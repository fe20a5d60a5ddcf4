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
	FieldString    FieldKind = "string"
	FieldInteger FieldKind = "integer"
	FieldNumber  FieldKind = "number"
	FieldBoolean    FieldKind = "boolean"
	FieldArray    FieldKind = "array"
)

// Field describes one field of a section's entries, for forms and documents.
type Field struct {
	// Name is the JSON name.
	Name string
	Kind FieldKind
	// Required fields have no default.
	Required bool
	// Options are the allowed values; empty means any.
	Options []string
	// Help is the doc comment, with unit and default.
	Help string
}

// entryValues gives a value of the entry type of each section.
var entryValues = map[record.Section]any{
	record.SectionTeams:       Team{},
	record.SectionKeys:        Key{},
	record.SectionDataCentres: DataCentre{},
	record.SectionPools:       Pool{},
	record.SectionModels:      Model{},
	record.SectionAdapters:    Adapter{},
	record.SectionRoutes:      Route{},
	record.SectionLimits:      Limits{},
}

var options = map[reflect.Type][]string{
	reflect.TypeFor[PoolKind]():        {string(PoolEngine), string(PoolService)},
	reflect.TypeFor[DataCentreState](): {string(DataCentreIn), string(DataCentreOut)},
}

// descriptions are the comments of the schema by definition and property; the
// definition's own comment has the property "".
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
	return descriptions()[entryTypes[section]][""]
}

// Fields returns the fields of a section's entries in the order of the type,
// nil for an unknown section.
func Fields(section record.Section) []Field {
	value, ok := entryValues[section]
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
			Options:  options[f.Type],
			Help:     descriptions()[entryTypes[section]][name],
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
