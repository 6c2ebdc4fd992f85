package callers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// completionHead holds the fields of a model call that routing needs.
type completionHead struct {
	Model  string
	Stream bool
}

var (
	errNoObject = errors.New("the body must be one JSON object")
	errNoModel  = errors.New(`"model" must name a model or an adapter`)
)

// parseHead reads the head of a model call. It refuses duplicate fields, since an engine might use
// the other value.
func parseHead(body []byte) (completionHead, error) {
	var h completionHead
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return h, errNoObject
	}
	seen := map[string]bool{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return h, errNoObject
		}
		name, ok := key.(string)
		if !ok {
			return h, errNoObject
		}
		if seen[name] {
			return h, fmt.Errorf("the body names %q twice", name)
		}
		seen[name] = true
		if err := h.take(d, name); err != nil {
			return h, err
		}
	}
	if _, err := d.Token(); err != nil {
		return h, errNoObject
	}
	if d.More() {
		return h, errNoObject
	}
	if h.Model == "" {
		return h, errNoModel
	}
	return h, nil
}

// take reads the value of one field.
func (h *completionHead) take(d *json.Decoder, name string) error {
	var skipped json.RawMessage
	var to any = &skipped
	switch name {
	case "model":
		to = &h.Model
	case "stream":
		to = &h.Stream
	}
	if err := d.Decode(to); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}
