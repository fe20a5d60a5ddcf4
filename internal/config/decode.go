package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Decode parses a document strictly. Unknown, misspelt, repeated or missing
// required fields, wrong types and trailing data are reported as Problems with
// their JSON paths. Decode does not apply defaults and does no semantic checks.
func Decode(data []byte) (Document, error) {
	doc, problems := decode(data)
	if len(problems) > 0 {
		return Document{}, problems
	}
	return doc, nil
}

// Parse decodes and validates a document and returns the problems of both steps
// together.
func Parse(data []byte) (Document, error) {
	doc, problems := decode(data)
	problems = append(problems, Validate(doc)...).sorted()
	if len(problems) > 0 {
		return Document{}, problems
	}
	return doc, nil
}

// decode returns the document and its structural problems. It returns
// an empty document if data does not fit the Go types.
func decode(data []byte) (Document, Problems) {
	problems := checkSchema("", Root, data)
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		if len(problems) == 0 {
			problems.add(RuleType, Root, nil, "%v", err)
		}
		return Document{}, problems
	}
	return doc, problems
}

// checkDuplicates adds a problem for every repeated member of an object. JSON
// decoders keep only the last one, which would silently drop an entry.
func checkDuplicates(data []byte, path Path, problems *Problems) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := walkValue(dec, path, problems); err != nil {
		return // The schema check reports the syntax error.
	}
}

func walkValue(dec *json.Decoder, path Path, problems *Problems) error {
	token, err := dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return walkObject(dec, path, problems)
	case json.Delim('['):
		return walkArray(dec, path, problems)
	default:
		return nil
	}
}

func walkObject(dec *json.Decoder, path Path, problems *Problems) error {
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("member name expected at %s", path)
		}
		if seen[name] {
			problems.add(RuleRepeated, path.Field(name), nil, "repeated field")
		}
		seen[name] = true
		if err := walkValue(dec, path.Field(name), problems); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func walkArray(dec *json.Decoder, path Path, problems *Problems) error {
	for i := 0; dec.More(); i++ {
		if err := walkValue(dec, path.Index(i), problems); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func readClosingDelim(dec *json.Decoder) error {
	_, err := dec.Token()
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
