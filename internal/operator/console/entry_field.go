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

// formFields returns the form fields of an entry, filled with its JSON value. A nil
// value gives empty fields.
func formFields(section record.Section, value json.RawMessage) []entryField {
	members := make(map[string]json.RawMessage)
	if value != nil {
		_ = json.Unmarshal(value, &members) // Entries are JSON objects.
	}
	var out []entryField
	for _, f := range config.Fields(section) {
		out = append(out, entryField{
			Field:   f,
			Value:   fieldText(members[f.Name]),
			Checked: string(members[f.Name]) == "true",
		})
	}
	return out
}

// fieldText returns the text that an input shows for a JSON value.
func fieldText(value json.RawMessage) string {
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

// fieldValue returns the JSON value of a posted field, nil if the field is empty.
// Text in a number field stays a JSON string, so that config.Apply reports it with
// its path like any other error.
func fieldValue(f config.Field, text string) json.RawMessage {
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

// entryJSON returns the JSON value of an entry from its posted fields.
func entryJSON(section record.Section, postedValue func(name string) string) json.RawMessage {
	members := make(map[string]json.RawMessage)
	for _, f := range config.Fields(section) {
		if value := fieldValue(f, postedValue(f.Name)); value != nil {
			members[f.Name] = value
		}
	}
	return encode(members)
}

// encode returns the JSON encoding of v, which must be a string, a list of strings
// or an object of valid JSON values.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
