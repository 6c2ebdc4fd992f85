package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["revoked"] = runRevoked }

const (
	revokeTime = 5 * time.Second // revoke_ms
	// deafTime is how long watches hear nothing before the history is dropped, and downTimeOfStore how long the store is down then.
	deafTime        = time.Second
	downTimeOfStore = 4500 * time.Millisecond
	revokeRounds    = 8
	goodKey         = "key-of-crew"
	otherKey        = "key-of-desk"
)

// tenantsWith returns the tenants of a desired state.
func tenantsWith(keys ...string) []map[string]any {
	return []map[string]any{{"name": "crew", "api_keys": keys}, {"name": "desk", "api_keys": []string{otherKey}}}
}

// runRevoked plays a key that is taken away within the second in which watches hear nothing, after which the store is down.
func runRevoked(f *fleet, trouble bool) (broken bool, err error) {
	f.revokeWithin = revokeTime
	f.tenants = tenantsWith(goodKey)
	if err = f.configure(plainRoutes(), plainServices()); err != nil {
		return false, err
	}
	for i := range 2 {
		address := freeAddress()
		if _, err = f.startWorker(fmt.Sprintf("i-app%d", i+1), "-service", "settle-app", "-listen", address, "-listed", address); err != nil {
			return false, err
		}
	}
	if err = f.awaitWorkers(2); err != nil {
		return false, err
	}
	if err = f.startDaemons(3); err != nil {
		return false, err
	}
	for round := range revokeRounds {
		f.tenants = tenantsWith(goodKey)
		if err = f.configure(plainRoutes(), plainServices()); err != nil {
			return false, err
		}
		time.Sleep(3*time.Second + time.Duration(rand.Int64N(int64(1500*time.Millisecond)))) // at any moment of the daemons' watches
		late, before, err := revokeOnce(f, round, trouble)
		if err != nil {
			return false, err
		}
		f.note("round %d: %d requests with the key ran before it was taken away, %d that were sent later than %v after that", round+1, before, late, revokeTime)
		if before == 0 {
			return false, fmt.Errorf("no request ran while the key was good")
		}
		if late > 0 {
			f.note("CONFIG is broken")
			broken = true
		}
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}

// revokeOnce takes the key away and returns how many requests with it ran that were sent too late, and how many before.
func revokeOnce(f *fleet, round int, trouble bool) (late, before int, err error) {
	stop := make(chan struct{})
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			p, id := f.daemons[n%len(f.daemons)], fmt.Sprintf("post%d%011d", round, n)
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			wg.Go(func() {
				r := f.request(p, http.MethodPost, "/post/2f", id, postLimit, map[string]string{"Authorization": "Bearer " + goodKey}, "position "+id)
				f.note("%s to %s: status %d, error %v", id, p.name, r.status, r.err)
			})
		}
	})
	time.Sleep(time.Second)
	if trouble {
		f.note("watches hear nothing")
		f.store.setFault(faultDeaf)
	}
	f.tenants = tenantsWith()
	if err = f.configure(plainRoutes(), plainServices()); err != nil {
		return 0, 0, err
	}
	confirmed := time.Now()
	f.note("the store has confirmed that the key is taken away")
	if trouble {
		time.Sleep(deafTime)
		f.store.dropHistory()
		f.note("the history is dropped and watches are cut; the store is down")
		f.store.setFault(faultDown)
		time.Sleep(downTimeOfStore)
		f.note("the store is back")
		f.store.setFault(faultNone)
	} else {
		time.Sleep(deafTime + downTimeOfStore)
	}
	close(stop)
	wg.Wait()
	for _, line := range f.linesAfter(time.Time{}) {
		_, rest, runs := strings.Cut(line, " runs ")
		id, _, _ := strings.Cut(rest, " ")
		at, ours := sent[id]
		switch {
		case !runs || !ours:
		case at.Before(confirmed):
			before++
		case at.After(confirmed.Add(revokeTime)):
			late++
			f.note("%s was sent %v after the confirmation, and ran", id, at.Sub(confirmed).Round(time.Millisecond))
		}
	}
	return late, before, nil
}
