package callers

import "testing"

func TestParseHead(t *testing.T) {
	for body, want := range map[string]completionHead{
		`{"model":"m0","prompt":"p"}`:                                 {Model: "m0"},
		`{"prompt":{"model":"m1"},"model":"m0","stream":true,"n":[]}`: {Model: "m0", Stream: true},
		`{"Model":"m1","model":"m0"}`:                                 {Model: "m0"},
	} {
		if got, err := parseHead([]byte(body)); err != nil || got != want {
			t.Errorf("%s: %+v, %v", body, got, err)
		}
	}
	for _, body := range []string{
		``, `[]`, `"m0"`, `{"model":"m0"`, `{"model":""}`, `{"model":7}`, `{"stream":true}`, `{"Model":"m0"}`,
		`{"model":"m0","model":"m1"}`, `{"model":"m0","mod\u0065l":"m1"}`, `{"model":"m0","stream":false,"stream":true}`,
		`{"model":"m0"}{"model":"m1"}`, `{"model":"m0"} x`, `{"model":"m0","a":}`,
	} {
		if got, err := parseHead([]byte(body)); err == nil {
			t.Errorf("%s was accepted as %+v", body, got)
		}
	}
}

// Any body is either refused or parsed with a model name, without a panic.
func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"model":"m0","stream":true,"messages":[{"role":"user"}]}`))
	f.Add([]byte(`{"model":"m0","model":"m1"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if h, err := parseHead(body); err == nil && h.Model == "" {
			t.Fatalf("%q was accepted without a model", body)
		}
	})
}
