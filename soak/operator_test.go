//go:build soak

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// operatorPatience is how long an operator waits for the reply to an order.
	operatorPatience = time.Second
	// finalPatience bounds the time until an order is acknowledged once faults have ended.
	finalPatience = 30 * time.Second
	// heldCalls is how many calls a frozen instance holds; whether it still carries one
	// out that was given up depends on the scheduling.
	heldCalls = 4
	// maxFreeze bounds how long an instance stays frozen if no order is acknowledged.
	maxFreeze = 4 * time.Second
)

// orderGaps are the pauses between the orders of a series.
var orderGaps = []time.Duration{
	50 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond,
	1500 * time.Millisecond, 2600 * time.Millisecond, 2600 * time.Millisecond, 12 * time.Second,
}

// thawDelays are the times after the newest order for which frozen instances stay so.
var thawDelays = []time.Duration{0, 0, 5 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}

// operator starts and ends evacuations, and disturbs the control instances that it
// calls.
type operator struct {
	fleet  *fleet
	rng    *rand.Rand
	client *http.Client
	faults sync.WaitGroup
	// evacuated is the zone that the newest order has left evacuated, or empty.
	evacuated string
	// undisturbed is set while no instance is to be disturbed because it is called.
	undisturbed bool
}

func (f *fleet) newOperator(seed uint64) *operator {
	return &operator{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run orders evacuations of one zone after the other until a time. The newest order on
// each zone is acknowledged in the end, while faults that it started may still last.
func (o *operator) run(ctx context.Context, until time.Time) {
	zone := o.rng.IntN(len(zones))
	for over := false; !over; zone = (zone + 1) % len(zones) {
		for range 1 + o.rng.IntN(3) {
			o.order(ctx, zones[zone], false, false)
			if over = o.pause(until); over {
				break
			}
			o.order(ctx, zones[zone], true, false)
			if over = o.pause(until); over {
				break
			}
		}
		if over {
			o.orderLast(ctx, zones[zone])
		} else {
			o.order(ctx, zones[zone], true, true)
		}
	}
	o.faults.Wait()
}

// runRound gives a few orders on one zone in quick series, of which the newest is
// acknowledged, and waits until the faults that it started are over.
func (o *operator) runRound(ctx context.Context) {
	zone := zones[o.rng.IntN(len(zones))]
	if o.evacuated != "" && o.evacuated != zone {
		o.order(ctx, o.evacuated, true, true)
	}
	for range o.rng.IntN(4) {
		o.order(ctx, zone, o.rng.IntN(2) == 0, false)
		time.Sleep(time.Duration(o.rng.IntN(300)) * time.Millisecond)
	}
	o.orderLast(ctx, zone)
	o.faults.Wait()
}

// orderLast gives an order on a zone until it is acknowledged, mostly after instances
// that are frozen got the opposite and the operator gave it up.
func (o *operator) orderLast(ctx context.Context, zone string) {
	end := o.rng.IntN(3) == 0
	var frozen []*instance
	if o.rng.IntN(4) > 0 {
		first := o.rng.IntN(controlCount)
		for i := range 1 + o.rng.IntN(2) {
			frozen = append(frozen, o.fleet.instances[(first+i)%controlCount])
		}
		o.undisturbed = o.rng.IntN(4) > 0
		o.giveUp(ctx, frozen, time.Duration(max(0, o.rng.IntN(8)-4))*time.Millisecond, zone, !end)
	}
	length, acknowledged := thawDelays[o.rng.IntN(len(thawDelays))], make(chan struct{})
	o.faults.Go(func() {
		select {
		case <-acknowledged:
			time.Sleep(length)
		case <-time.After(maxFreeze):
		}
		for _, n := range frozen {
			n.signal(syscall.SIGCONT)
		}
	})
	o.order(ctx, zone, end, true)
	close(acknowledged)
	o.undisturbed = false
	o.evacuated = ""
	if !end {
		o.evacuated = zone
	}
}

// giveUp sends control instances an order, freezes them, before it or after a delay,
// and gives the order up.
func (o *operator) giveUp(ctx context.Context, frozen []*instance, delay time.Duration, zone string, end bool) {
	o.fleet.checker.sendOrder(zone, end)
	var calls sync.WaitGroup
	for _, n := range frozen {
		calls.Go(func() {
			time.Sleep(delay)
			n.signal(syscall.SIGSTOP)
		})
		if delay == 0 {
			n.signal(syscall.SIGSTOP)
		}
		for range heldCalls {
			calls.Go(func() { o.call(ctx, n, zone, end) })
		}
	}
	calls.Wait()
}

// pause waits for a drawn time, and reports whether the series is over.
func (o *operator) pause(until time.Time) bool {
	gap := orderGaps[o.rng.IntN(len(orderGaps))]
	gap = time.Duration(float64(gap) * (0.9 + 0.2*o.rng.Float64()))
	time.Sleep(min(gap, time.Until(until)))
	return !time.Now().Before(until)
}

// order sends an order to random control instances, one after the other, until one
// acknowledges it or the operator gives up; an operator who persists does not.
func (o *operator) order(ctx context.Context, zone string, end, persists bool) {
	ctx, cancel := context.WithTimeout(ctx, finalPatience)
	defer cancel()
	o.fleet.checker.sendOrder(zone, end)
	for ctx.Err() == nil {
		n := o.fleet.instances[o.rng.IntN(controlCount)]
		o.disturb(n)
		if o.call(ctx, n, zone, end) {
			return
		}
		if !persists && o.rng.IntN(2) == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.fleet.addFinding("no instance acknowledged the order on zone %s (end=%t)", zone, end)
}

// call sends an order to a control instance, and closes the connection if no reply
// comes in time. It reports whether the order was acknowledged.
func (o *operator) call(ctx context.Context, n *instance, zone string, end bool) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorPatience)
	defer cancel()
	path := map[bool]string{false: "Start", true: "Finish"}[end]
	url := fmt.Sprintf("http://%s:%d/Evacuation.%s/%s", n.ip, controlPort, path, zone)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	o.fleet.must(err)
	contact := o.fleet.checker.contact
	contact.log("%s of zone %s sent to %s", path, zone, n.ip)
	response, err := o.client.Do(r)
	if err != nil {
		contact.log("%s of zone %s at %s given up: %s", path, zone, n.ip, err)
		return false
	}
	_ = response.Body.Close()
	contact.log("%s of zone %s at %s: status %d", path, zone, n.ip, response.StatusCode)
	switch {
	case response.StatusCode == http.StatusOK:
		o.fleet.checker.acknowledgeOrder(zone, end)
		return true
	case response.StatusCode < http.StatusInternalServerError:
		o.fleet.addFinding("%s of zone %s was refused with status %d", path, zone, response.StatusCode)
	}
	return false
}

// disturb draws whether the instance that is called next, and another one, is frozen,
// ended or loses its disk, now or while it works.
func (o *operator) disturb(n *instance) {
	if o.rng.IntN(3) == 0 || o.undisturbed {
		return
	}
	instances := []*instance{n}
	if o.rng.IntN(2) == 0 {
		instances = append(instances, o.fleet.instances[o.rng.IntN(controlCount)])
	}
	delay := []time.Duration{0, 0, 2 * time.Millisecond, 10 * time.Millisecond}[o.rng.IntN(4)]
	for _, n := range instances {
		kind, length := o.rng.IntN(10), time.Duration(800+o.rng.IntN(4000))*time.Millisecond
		if kind < 7 && delay == 0 {
			n.signal(syscall.SIGSTOP)
		}
		o.faults.Go(func() {
			time.Sleep(delay)
			o.fleet.injectMemberFault(n, kind, length)
		})
	}
}

// injectMemberFault freezes, kills or stops a control instance or takes its disk away.
func (f *fleet) injectMemberFault(n *instance, kind int, length time.Duration) {
	switch kind {
	case 7:
		n.signal(syscall.SIGKILL)
	case 8:
		n.signal(syscall.SIGTERM)
	case 9:
		f.wipeDisk(n)
	default:
		f.freeze(n, length)
	}
}
