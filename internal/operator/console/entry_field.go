package console

import (
	"encoding/json"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// entryField is one field of an entry's form.
type entryField struct {
	config.Field
	Value    string
	Checked  bool
	Problems config.Problems
}

// fieldsOf returns the form of an entry with its JSON value; nil gives an
// empty form.
func fieldsOf(section record.Section, value json.RawMessage) []entryField {
	members := make(map[string]json.RawMessage)
	if value != nil {
		_ = json.Unmarshal(value, &members) // Entries are JSON objects.
	}
	var out []entryField
	for _, f := range config.Fields(section) {
		out = append(out, entryField{
			Field:   f,
			Value:   textOf(members[f.Name]),
			Checked: string(members[f.Name]) == "true",
		})
	}
	return out
}

// textOf returns what an input shows for a JSON value.
func textOf(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(value, &list) == nil {
		return strings.Join(list, ", ")
	}
	return string(value)
}

// valueOf returns the JSON value of a posted field, nil for an empty one. A
// text where a number belongs stays a text, so that the check of the
// structure reports it at its path like any other error.
func valueOf(f config.Field, text string) json.RawMessage {
	text = strings.TrimSpace(text)
	switch {
	case text == "":
		return nil
	case f.Kind == config.FieldBoolean:
		return json.RawMessage("true")
	case f.Kind == config.FieldArray:
		return encode(strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' || r == '\t' }))
	case f.Kind == config.FieldInteger || f.Kind == config.FieldNumber:
		var number json.Number
		if json.Unmarshal([]byte(text), &number) == nil && text[0] != '"' {
			return json.RawMessage(text)
		}
	}
	return encode(text)
}

// entryValue returns the JSON form of an entry from its posted fields.
func entryValue(section record.Section, posted func(name string) string) json.RawMessage {
	members := make(map[string]json.RawMessage)
	for _, f := range config.Fields(section) {
		if value := valueOf(f, posted(f.Name)); value != nil {
			members[f.Name] = value
		}
	}
	return encode(members)
}

// encode returns the JSON form of strings and objects of valid JSON.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
