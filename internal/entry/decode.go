package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// decodeCompletion reads the fields of a request. The engine decodes the same
// body with its own decoder, so decodeCompletion rejects fields that two decoders
// may read differently. Otherwise a body with both "model" and "Model", or with
// "model" twice, could be checked for one model and run on another.
func decodeCompletion(body []byte) (completion, error) {
	var req completion
	fields := req.fields()
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return req, errkind.New(errkind.InvalidRequest, "the body must be a JSON object")
	}
	seen := make(map[string]bool, len(fields))
	for dec.More() {
		name, err := fieldName(dec, seen)
		if err != nil {
			return req, err
		}
		var target any = new(json.RawMessage)
		if f, ok := fields[name]; ok {
			target = f
		}
		if err := dec.Decode(target); err != nil {
			return req, fieldError(name, err)
		}
	}
	if _, err := dec.Token(); err != nil {
		return req, errkind.Wrap(errkind.InvalidRequest, "the body is not complete JSON", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return req, errkind.New(errkind.InvalidRequest, "the body has more than one JSON value")
	}
	return req, nil
}

// fields maps the exact name of each known field to the variable that it is
// decoded into.
func (r *completion) fields() map[string]any {
	return map[string]any{
		"model":                 &r.Model,
		"stream":                &r.Stream,
		"max_tokens":            &r.MaxTokens,
		"max_completion_tokens": &r.MaxCompletionTokens,
		"prompt":                &r.Prompt,
		"messages":              &r.Messages,
	}
}

// fieldName reads the next field name. It rejects a repeated name and one that
// differs from a known name only in case.
func fieldName(dec *json.Decoder, seen map[string]bool) (string, error) {
	t, err := dec.Token()
	if err != nil {
		return "", errkind.Wrap(errkind.InvalidRequest, "the body is not JSON", err)
	}
	name, _ := t.(string)
	for known := range (&completion{}).fields() {
		if name != known && strings.EqualFold(name, known) {
			return "", errkind.New(errkind.InvalidRequest, "field "+excerpt(name)+" must be written "+known)
		}
	}
	if seen[name] {
		return "", errkind.New(errkind.InvalidRequest, "field "+excerpt(name)+" appears twice in the body")
	}
	seen[name] = true
	return name, nil
}

func fieldError(name string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errkind.Wrap(errkind.InvalidRequest, "field "+excerpt(name)+" must not be a "+typeErr.Value, err)
	}
	return errkind.Wrap(errkind.InvalidRequest, "the body is not JSON at field "+excerpt(name), err)
}
