package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxRanks is the number of ranks that are told apart. Less urgent ones count as the last of them.
const MaxRanks = 8

// RankUnits are units by rank.
type RankUnits [MaxRanks]float64

// Selection is the share of the offered units that daemons let through to the bucket: of new
// requests by rank, and of requests whose callers were refused before.
type Selection struct {
	New      RankUnits
	Returned float64
}

// rankIndex returns the index of a rank in RankUnits.
func rankIndex(rank int) int { return min(max(0, rank), MaxRanks-1) }

// selectByRank divides the available units a second among new requests, which need the given units
// a second by rank, and returning ones. More urgent ranks go first, but no rank gets a smaller share
// of what it needs than rankShare of the share of the next more urgent one, nor a larger share than
// that one. Returning requests get what they need up to maxReturnedShare of the available units, and
// what new requests leave.
func selectByRank(available float64, needed RankUnits, returned, rankShare float64) Selection {
	sum := 0.0
	for _, units := range needed {
		sum += units
	}
	forReturned := min(returned, max(maxReturnedShare*available, available-sum))
	s := Selection{Returned: availableShare(forReturned, returned)}
	available -= forReturned
	share := 1.0
	for rank, units := range needed {
		if units > 0 {
			share = min(share, availableShare(available, weightedFrom(needed, rank, rankShare)))
			available -= share * units
		}
		s.New[rank] = share
	}
	return s
}

// weightedFrom returns the units that ranks need from the given one on if each gets rankShare of the
// share of the one before.
func weightedFrom(needed RankUnits, from int, rankShare float64) float64 {
	sum, weight := 0.0, 1.0
	for _, units := range needed[from:] {
		if units > 0 {
			sum += weight * units
			weight *= rankShare
		}
	}
	return sum
}

// availableShare returns the share of the needed units that are available, between 0 and 1.
func availableShare(available, needed float64) float64 {
	if available >= needed {
		return 1
	}
	return max(0, available/needed)
}

// selects reports whether requests are selected by rank: the demand has exceeded the rate for some
// time, or has emptied the bucket. level is the content of the bucket that may be granted.
func (o *Owner) selects(now time.Time, b *bucket, rate, depth, level float64) bool {
	return o.bounds.RankShare > 0 && b.demand.rate(now) > rate && (now.Sub(b.lastCalm) >= overloadAfter || level < emptyShare*depth)
}

// selection returns how daemons select requests; nil while they are not selected. level is as in
// selects.
func (o *Owner) selection(now time.Time, b *bucket, rate, level float64) *Selection {
	if !b.selecting {
		return nil
	}
	var needed RankUnits
	for rank := range needed {
		needed[rank] = b.byRank[rank].rate(now)
	}
	available := overSelect * (rate + max(0, level)/surplusPer.Seconds())
	s := selectByRank(available, needed, b.returned.rate(now), o.bounds.RankShare)
	return &s
}

// accountRanks counts the units that a draw reports by rank. What a daemon reports without a rank
// counts as most urgent: it does not select its requests.
func (b *bucket) accountRanks(now time.Time, d Draw) {
	unranked := d.Offered - d.Returned
	for rank, units := range d.ByRank {
		b.byRank[rank].add(now, units)
		unranked -= units
	}
	b.byRank[0].add(now, max(0, unranked))
	b.returned.add(now, d.Returned)
}

// PromisedIn returns the time after which a returning request that has found no room should draw
// again, and whether room was promised to it.
func (c *Client) PromisedIn(now time.Time, subject string) (time.Duration, bool) {
	a := c.account(subject)
	return max(a.drawFrom.Sub(now), a.retryAt.Sub(now), minPromisePause), a.spareRate > 0
}

// Select decides whether a request may take units or draw, by the latest selection of the owner, and
// counts it for the next draw. It is called once for each request.
func (c *Client) Select(now time.Time, subject string, cost float64, rank int, returned bool) bool {
	a, i, share := c.account(subject), rankIndex(rank), 1.0
	small := a.isSmall(cost)
	selected := a.selection != nil && !now.After(a.selectionUntil) && !small
	if returned {
		a.returned += cost
		if selected {
			share = a.selection.Returned
		}
	} else {
		a.byRank[i] += cost
		if selected {
			share = a.selection.New[i]
		}
	}
	return pass(a.creditOf(rank, returned), share)
}

// isSmall reports whether a request takes few units compared with the mean of the subject's requests,
// and adds it to the mean. To refuse such requests leaves hardly any units for others.
func (a *account) isSmall(cost float64) bool {
	if a.meanCost == 0 {
		a.meanCost = cost
	}
	a.meanCost += meanCostStep * (cost - a.meanCost)
	return cost < smallCostShare*a.meanCost
}

// Deselect gives back the credit of a selected request that did not run, for the next one like it.
func (c *Client) Deselect(subject string, rank int, returned bool) {
	*c.account(subject).creditOf(rank, returned)++
}

func (a *account) creditOf(rank int, returned bool) *float64 {
	if returned {
		return &a.returnedCredit
	}
	return &a.credit[rankIndex(rank)]
}

// phaseOf returns a number from -0.5 to 0.5 that differs between daemons, with which credits begin:
// daemons with few requests would otherwise all let the same ones through.
func phaseOf(daemon string) float64 {
	return float64(xxhash.Sum64String(daemon)>>11)/(1<<53) - 0.5
}

// pass adds a share of a request to a credit, and takes a request out of it if it covers at least half
// of one. Over many requests the given share passes, without random numbers.
func pass(credit *float64, share float64) bool {
	if share >= 1 {
		return true
	}
	*credit += share
	if *credit < 0.5 {
		return false
	}
	*credit--
	return true
}
