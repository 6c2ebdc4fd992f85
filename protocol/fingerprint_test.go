package protocol

import "testing"

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := FingerprintOf("POST", "a.example", "/x/1?q=2", "10.0.0.1", []byte("body"))
	if again := FingerprintOf("POST", "a.example", "/x/1?q=2", "10.0.0.1", []byte("body")); again != base {
		t.Fatalf("the same request has the fingerprints %v and %v", base, again)
	}
	for name, other := range map[string]Fingerprint{
		"method":       FingerprintOf("GET", "a.example", "/x/1?q=2", "10.0.0.1", []byte("body")),
		"host":         FingerprintOf("POST", "b.example", "/x/1?q=2", "10.0.0.1", []byte("body")),
		"query":        FingerprintOf("POST", "a.example", "/x/1?q=3", "10.0.0.1", []byte("body")),
		"caller":       FingerprintOf("POST", "a.example", "/x/1?q=2", "10.0.0.2", []byte("body")),
		"body":         FingerprintOf("POST", "a.example", "/x/1?q=2", "10.0.0.1", []byte("bodz")),
		"moved border": FingerprintOf("POST", "a.example", "/x/1?q=210", ".0.0.1", []byte("body")),
	} {
		if other == base {
			t.Errorf("another %s, the same fingerprint", name)
		}
	}
}

// BenchmarkFingerprint is of a prompt of ordinary size.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 2<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("POST", "a.example", "/x/1?q=2", "10.0.0.1", body)
	}
}
