package settings

import (
	"reflect"
	"slices"
	"strings"
)

// reloadTag is the tag of fields that a running daemon applies when its settings are read again. A struct with the tag
// is replaced as a whole.
const reloadTag = "reload"

// Reloaded is what comes into force when a running daemon reads its settings again.
type Reloaded[S Settings | Edge] struct {
	// InForce are the settings that the daemon has been started with, with the new values of fields that it can
	// change while it runs.
	InForce S
	// Applied are the names of the fields that differ from those in force before.
	Applied []string
	// AtNextStart are the names of the fields whose new values come into force at the next start.
	AtNextStart []string
}

// Reload returns what comes into force of the settings next in a daemon that runs with those of inForce.
func Reload[S Settings | Edge](inForce, next S) Reloaded[S] {
	r := Reloaded[S]{InForce: inForce}
	forEachField(reflect.ValueOf(&r.InForce).Elem(), reflect.ValueOf(next), "", func(name string, reload bool, current, next reflect.Value) {
		switch {
		case reflect.DeepEqual(current.Interface(), next.Interface()):
		case reload:
			current.Set(next)
			r.Applied = append(r.Applied, name)
		default:
			r.AtNextStart = append(r.AtNextStart, name)
		}
	})
	return r
}

// Reloadable returns the names of the fields that a running daemon applies.
func Reloadable[S Settings | Edge]() []string {
	var s S
	var names []string
	forEachField(reflect.ValueOf(&s).Elem(), reflect.ValueOf(s), "", func(name string, reload bool, _, _ reflect.Value) {
		if reload {
			names = append(names, name)
		}
	})
	slices.Sort(names)
	return names
}

// forEachField calls f for each field of two structs of one type, also within structs that have no reload tag.
func forEachField(a, b reflect.Value, path string, f func(name string, reload bool, a, b reflect.Value)) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		_, reload := field.Tag.Lookup(reloadTag)
		if field.Type.Kind() == reflect.Struct && !reload {
			forEachField(a.Field(i), b.Field(i), path+name+".", f)
			continue
		}
		f(path+name, reload, a.Field(i), b.Field(i))
	}
}
