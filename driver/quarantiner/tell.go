package quarantiner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/internal/wake"
	"github.com/doorvalve/doorvalve/protocol/quarantinepb"
)

// runSend sends new records to the other daemons until ctx ends: the first at once and those that
// follow shortly after together, since an endpoint crashes during requests of many daemons.
func (k *Controller) runTell(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.news:
		}
		k.mu.Lock()
		cases, more := k.m.TakePending()
		k.mu.Unlock()
		if more {
			wake.Once(k.news)
		}
		if len(cases) > 0 {
			k.tell(&quarantinepb.ExchangeRequest{Cases: toWire(k.opt.Clock(), cases)})
		}
		pause.For(ctx, tellEvery)
	}
}

// others returns the other daemons in a random order.
func (k *Controller) others() []membership.Member {
	var list []membership.Member
	for _, m := range k.opt.Members() {
		if m.ID != k.opt.Self {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// send sends records to some other daemons concurrently.
func (k *Controller) tell(req *quarantinepb.ExchangeRequest) {
	list := k.others()
	for _, m := range list[:min(fanout, len(list))] {
		go func() { _, _ = k.exchange(context.Background(), m, req) }() // the next comparison replaces lost messages
	}
}

// exchange makes one call and merges the records of the answer.
func (k *Controller) exchange(ctx context.Context, m membership.Member, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.metrics.told.Inc(1)
	resp, err := k.opt.Peer(m.PeerAddress).Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	k.learn(fromWire(k.opt.Clock(), resp.Cases))
	return resp, nil
}

// merge merges records received from another daemon.
func (k *Controller) learn(cases []quarantine.Record) {
	if len(cases) == 0 {
		return
	}
	k.step(func(now time.Time) {
		k.m.Merge(now, cases)
		for i := range cases {
			print := cases[i].Fingerprint
			k.m.MarkServedBefore(now, print, func(sent time.Time) bool { return k.served.lately(print, sent) })
		}
	})
	now := k.opt.Clock()
	for i := range cases {
		for _, e := range cases[i].Crashes {
			if now.Sub(e.At) < justEnded {
				k.opt.OnCrash(e.Incarnation)
			}
		}
	}
}

// sync asks other daemons for their records until one has answered that is synced itself.
func (k *Controller) sync(ctx context.Context) {
	defer close(k.synced)
	for ctx.Err() == nil && k.opt.Clock().Sub(k.started) < syncWithin {
		list := k.others()
		for _, m := range list[:min(fanout, len(list))] {
			resp, err := k.exchange(ctx, m, &quarantinepb.ExchangeRequest{Ask: true})
			if err == nil && resp.Settled {
				return
			}
		}
		pause.For(ctx, syncPause)
	}
}

func (k *Controller) settled() bool {
	select {
	case <-k.synced:
		return true
	default:
		return false
	}
}

// comparePause returns the time between two comparisons; ok is false while there are no records.
func (k *Controller) comparePause(now time.Time) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.m.Len() == 0:
		return 0, false
	case now.Sub(k.newsAt) < spreadFor:
		return compareSoon, true
	}
	return compareLater, true
}

// compare synchronizes the records with those of another daemon.
func (k *Controller) compare(ctx context.Context) {
	list := k.others()
	if len(list) == 0 {
		return
	}
	k.mu.Lock()
	digest := k.m.Digest()
	k.mu.Unlock()
	resp, err := k.exchange(ctx, list[0], &quarantinepb.ExchangeRequest{Ask: true, Digest: digest})
	if err != nil || resp.Digest == digest {
		return // the next comparison is with another daemon
	}
	k.mu.Lock()
	req := &quarantinepb.ExchangeRequest{Digest: k.m.Digest()}
	if req.Digest != resp.Digest {
		req.Cases = toWire(k.opt.Clock(), k.m.Top())
	}
	k.mu.Unlock()
	if len(req.Cases) > 0 {
		_, _ = k.exchange(ctx, list[0], req) // the next comparison replaces a lost message
	}
}

// Exchange implements quarantinepb.Quarantine.
func (k *Controller) Exchange(_ context.Context, req *quarantinepb.ExchangeRequest) (*quarantinepb.ExchangeResponse, error) {
	k.learn(fromWire(k.opt.Clock(), req.Cases))
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := &quarantinepb.ExchangeResponse{Digest: k.m.Digest(), Settled: k.settled()}
	if req.Ask && req.Digest != resp.Digest {
		resp.Cases = toWire(k.opt.Clock(), k.m.Top())
	}
	return resp, nil
}

// errNoRecord refuses a probe call without a valid record.
var errNoCase = errors.New("no whole case to decide on")

// Trial implements quarantinepb.Quarantine.
func (k *Controller) Trial(_ context.Context, req *quarantinepb.TrialRequest) (*quarantinepb.TrialResponse, error) {
	cases := fromWire(k.opt.Clock(), []*quarantinepb.Case{req.Case})
	if len(cases) == 0 {
		return nil, errNoCase
	}
	k.learn(cases)
	granted, known := k.grant(cases[0].Fingerprint, quarantine.Software(req.Software))
	return &quarantinepb.TrialResponse{Granted: granted, Case: caseToWire(k.opt.Clock(), &known)}, nil
}
