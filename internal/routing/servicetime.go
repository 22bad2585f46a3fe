package routing

import "time"

const (
	// defaultServiceMS is the service time of a request without a prompt while none was
	// observed at any server of the pool.
	defaultServiceMS = 40
	// initialSamples is the number of first responses that are averaged evenly. From then
	// on each has the weight meanGain.
	initialSamples = 10
	// serviceTimeLifetime is how long a service time counts in full after the last
	// response; over the same time again it falls back to the mean of the pool. A server
	// that was slow and got no requests since may be fast by then.
	serviceTimeLifetime = 3 * time.Second
	// unmeasuredShare of the lowest service time of the pool is assumed of a server that
	// was never measured. It is below 1 so that an idle one is chosen before measured ones.
	unmeasuredShare = 0.9
)

// serviceTime is the mean time of a response to a request without a prompt from an idle
// server at its usual pace.
type serviceTime struct {
	ms      float64
	samples int
	// at is the time of the last response.
	at time.Time
}

// observe records that a response took tookMS where a response of an idle server at its
// usual pace was expected to take 1/factor of that time.
func (t *serviceTime) observe(now time.Time, tookMS, factor float64) {
	if factor <= 0 {
		factor = 1
	}
	t.samples++
	gain := max(meanGain, 1/float64(min(t.samples, initialSamples)))
	t.ms += gain * (tookMS/factor - t.ms)
	t.at = now
}

// estimate returns the service time to expect, given those of the pool.
func (t *serviceTime) estimate(now time.Time, pool poolServiceTime) float64 {
	if t.samples == 0 {
		return pool.meanMS
	}
	stale := float64(now.Sub(t.at)-serviceTimeLifetime) / float64(serviceTimeLifetime)
	weight := 1 - min(max(stale, 0), 1)
	return weight*t.ms + (1-weight)*pool.meanMS
}

// poolServiceTime sums up the service times of the servers that a request may be sent to.
type poolServiceTime struct{ meanMS, minMS float64 }

// poolServiceTime returns the mean and the lowest of the measured service times.
func (d *Direct) poolServiceTime(servers []DirectServer, usable []int32) poolServiceTime {
	pool, measured := poolServiceTime{}, 0
	for _, index := range usable {
		l := d.loads[servers[index].ID]
		if l == nil || l.service.samples == 0 {
			continue
		}
		if measured == 0 || l.service.ms < pool.minMS {
			pool.minMS = l.service.ms
		}
		pool.meanMS += l.service.ms
		measured++
	}
	if measured == 0 {
		return poolServiceTime{meanMS: defaultServiceMS, minMS: defaultServiceMS}
	}
	pool.meanMS /= float64(measured)
	return pool
}

// serviceMS returns the expected time of a response from the idle server. A server that
// was never measured is assumed to be the fastest, so that it is measured soon, but only
// until a request has been sent to it: it may be slow.
func (l *directLoad) serviceMS(now time.Time, pool poolServiceTime) float64 {
	if l.service.samples == 0 && l.running == 0 {
		return unmeasuredShare * pool.minMS
	}
	return l.service.estimate(now, pool)
}

// fillFactor returns how much longer than at an idle server a response takes with the
// requests that the server has now: requests beyond the slots wait for a free one, and
// those in the slots slow each other down.
func (l *directLoad) fillFactor(now time.Time, serverSlots int) float64 {
	slots := float64(max(serverSlots, 1))
	ahead := float64(l.running) + l.others(now)
	return max(0, ahead+1-slots)/slots + 1 + ahead/slots/2
}

// serviceFactor returns how much longer a response is expected to take than at an idle
// server at its usual pace.
func (l *directLoad) serviceFactor(now time.Time, slots int) float64 {
	return l.fillFactor(now, slots) + l.slowdownMS(now, l.fillFactor(now, slots))
}
