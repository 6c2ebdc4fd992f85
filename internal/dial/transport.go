package dial

import "net/http"

// Transports builds the transports of requests to endpoints.
type Transports interface {
	// RoundTripper returns a transport with the settings of t. Its connections are passed through wrap,
	// unless wrap is nil.
	RoundTripper(t *http.Transport, wrap func(Func) Func) http.RoundTripper
}

// Direct builds transports that open connections with a function.
type Direct Func

// RoundTripper implements Transports.
func (d Direct) RoundTripper(t *http.Transport, wrap func(Func) Func) http.RoundTripper {
	t = t.Clone()
	t.DialContext = Wrap(Func(d), wrap)
	return t
}

// Wrap returns wrap(f), or f if wrap is nil.
func Wrap(f Func, wrap func(Func) Func) Func {
	if wrap == nil {
		return f
	}
	return wrap(f)
}
