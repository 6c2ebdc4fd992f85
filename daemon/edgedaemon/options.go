package edgedaemon

import "github.com/doorvalve/doorvalve/internal/dial"

// Option changes how New assembles a daemon.
type Option func(*options)

type options struct{ dial dial.Func }

// WithDial sets the function that opens connections to endpoints; the default is dial.TCP.
func WithDial(open dial.Func) Option { return func(o *options) { o.dial = open } }

func optionsOf(list []Option) options {
	o := options{dial: dial.TCP}
	for _, set := range list {
		set(&o)
	}
	return o
}
