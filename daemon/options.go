package daemon

import (
	"net"

	"github.com/doorvalve/doorvalve/internal/dial"
)

// Option changes how New assembles a daemon.
type Option func(*options)

type options struct{ dial dial.Func }

// WithDial sets the function that opens connections to endpoints; the default is TCP with keep-alive probes.
func WithDial(open dial.Func) Option { return func(o *options) { o.dial = open } }

func optionsOf(list []Option) options {
	o := options{dial: (&net.Dialer{}).DialContext}
	for _, set := range list {
		set(&o)
	}
	return o
}
