package protocol

import "testing"

func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := FingerprintOf("POST", "/x/1", "q=2", "crew", []byte("body"))
	if repeated := FingerprintOf("POST", "/x/1", "q=2", "crew", []byte("body")); repeated != base {
		t.Fatalf("the same request has the fingerprints %v and %v", base, repeated)
	}
	if other := FingerprintOf("POST", "/x/1", "q=3", "crew", []byte("body")); other != base {
		t.Error("the query changes the fingerprint of a request with a body")
	}
	if a, b := FingerprintOf("GET", "/x/1", "q=2", "", nil), FingerprintOf("GET", "/x/1", "q=3", "", nil); a == b {
		t.Error("the query does not change the fingerprint of a request without a body")
	}
	for name, other := range map[string]Fingerprint{
		"method":                 FingerprintOf("GET", "/x/1", "q=2", "crew", []byte("body")),
		"path":                   FingerprintOf("POST", "/x/2", "q=2", "crew", []byte("body")),
		"no body":                FingerprintOf("POST", "/x/1", "q=2", "crew", nil),
		"caller":                 FingerprintOf("POST", "/x/1", "q=2", "desk", []byte("body")),
		"body":                   FingerprintOf("POST", "/x/1", "q=2", "crew", []byte("bodz")),
		"shifted field boundary": FingerprintOf("POST", "/x/1c", "q=2", "rew", []byte("body")),
	} {
		if other == base {
			t.Errorf("%s: the fingerprint does not change", name)
		}
	}
}

// BenchmarkFingerprint uses a body of typical prompt size.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 2<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("POST", "/x/1", "q=2", "crew", body)
	}
}
