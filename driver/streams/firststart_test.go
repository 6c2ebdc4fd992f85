package streams

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorvalve/doorvalve/standin/record"
)

// Guards against streams that are refused after a restart of all daemons though only one version has run since the first
// start of the system: its store names a generation before it has the record, so that the record counted as restored.
func TestAllDaemonsRestartAfterAFirstStartInANamedGeneration(t *testing.T) {
	for _, c := range []struct {
		name string
		ran  time.Duration // how long the first daemons ran
	}{
		{"soon", 5 * time.Second},
		{"within the retention", 40 * time.Second},
		{"later", 5 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &record.Store{Latency: 4 * time.Millisecond}
				store.Restore(store.Backup()) // the store counts from 1, before the first daemon starts
				in := newInstallation(5, true, store)
				defer in.close()
				in.set("a", "v1")
				for until := time.Now().Add(c.ran); time.Now().Before(until); time.Sleep(confirmEvery) {
					in.lookAll()
				}
				for _, h := range in.hosts {
					h.stop()
				}
				for _, h := range in.hosts {
					h.start(false)
				}
				for _, h := range in.hosts {
					if found, _, refusal := h.controller.Resume(context.Background(), "next", request("lost")); refusal != nil || found.Software() != "v1" {
						t.Errorf("%s: continues at %q, refused: %v", h.name, found.Software(), refusal)
					}
				}
			})
		})
	}
}
