package rollout

import "time"

const (
	// confirmTimeout is how long an order may go without a response until the server is
	// asked for its state. The report must be asked for that long after the order: it
	// shows a state that is some hundred milliseconds old.
	confirmTimeout = 400 * time.Millisecond
	// repeatDelay is the delay before an order without a response is repeated; it doubles
	// up to maxRepeatDelay. The first one may be carried out seconds late, and a repeated
	// one takes the place of another server's load.
	repeatDelay    = 1200 * time.Millisecond
	maxRepeatDelay = 2 * repeatDelay
)

// advance ends phases that are complete or timed out, and queries servers whose
// state is needed. It appends to actions. There is nothing to do for a server that is idle,
// has the version that it had at the last Tick and is not unresponsive.
func (p *Plan) advance(actions []Action, now time.Time, pr *progress, s *Server, target uint64) []Action {
	pr.observeVersion(s.Version)
	switch pr.phase {
	case idle:
		// One that answers again takes its turn by the age of its weights: announced
		// after all others, it would have them for too long.
		if pr.unresponsive && s.Version < target && !now.Before(pr.retryAt) {
			pr.retryAt = now.Add(unresponsivePause)
			return append(actions, Action{Kind: Query, Server: s.ID, Address: s.Address})
		}
	case ordered:
		return p.advanceOrdered(actions, now, pr, s)
	case announced:
		if !pr.stateKnown && now.Sub(pr.since) >= stateTimeout {
			// The announcement is not withdrawn and expires by itself: the server
			// would not answer requests either.
			pr.phase, pr.retryAt, pr.unresponsive = idle, now.Add(unresponsivePause), true
			return actions
		}
		if !pr.stateKnown && !now.Before(pr.nextQueryAt) {
			pr.nextQueryAt = now.Add(2 * queryInterval)
			return append(actions, Action{Kind: Query, Server: s.ID, Address: s.Address})
		}
	}
	return actions
}

// observeVersion resets what is known of orders when a server has new weights: an order
// without a response was carried out, so that the count of orders is out of date.
func (pr *progress) observeVersion(version uint64) {
	if version == pr.seenVersion {
		return
	}
	pr.seenVersion = version
	if pr.phase == idle || pr.phase == ordered && !pr.confirmed && version < pr.version {
		pr.phase, pr.loadSince, pr.unanswered, pr.orders = idle, time.Time{}, 0, -1
	}
}

func (p *Plan) advanceOrdered(actions []Action, now time.Time, pr *progress, s *Server) []Action {
	elapsed := now.Sub(pr.since)
	switch {
	case s.Version >= pr.version:
		if pr.unanswered == 0 {
			p.loadTime += time.Duration(loadTimeWeight * float64(elapsed-reportLag-p.loadTime))
		}
		pr.phase, pr.loadSince, pr.unanswered = idle, time.Time{}, 0
		return actions
	case pr.refused:
		// The server was reached and has not accepted the order, which may still be
		// carried out: it serves meanwhile. The count of orders that it reported keeps
		// a late order from undoing the next one.
		undrained := pr.unanswered > 0
		pr.phase, pr.retryAt = idle, now.Add(min(repeatDelay<<pr.unanswered, maxRepeatDelay))
		pr.unanswered++
		if undrained {
			return actions
		}
		return append(actions, Action{Kind: Withdraw, Server: s.ID})
	case elapsed > loadTimeout:
		pr.phase, pr.orders, pr.retryAt, pr.unanswered = idle, -1, now.Add(retryDelay), 0
		return append(actions, Action{Kind: Withdraw, Server: s.ID})
	case (elapsed >= p.loadTime || !pr.confirmed && elapsed >= confirmTimeout) && !now.Before(pr.nextQueryAt):
		pr.nextQueryAt = now.Add(queryInterval)
		return append(actions, Action{Kind: Query, Server: s.ID, Address: s.Address})
	}
	return actions
}

// loadLeft returns the time until the expected end of a load that may have been ordered.
func (p *Plan) loadLeft(now time.Time, pr *progress) time.Duration {
	if pr.loadSince.IsZero() {
		return 0
	}
	return p.loadTime - now.Sub(pr.loadSince)
}

// ObserveState records the state that a server reported. If an order is due to be
// done and the server neither loads nor has accepted another order, the order was
// lost; it is sent again without waiting for loadTimeout.
func (p *Plan) ObserveState(server string, seen ServerState) {
	pr := p.progress(server)
	if pr.phase == ordered {
		pr.confirmed = pr.confirmed || seen.Busy
		pr.refused = pr.refused || p.showsNoOrder(pr, &seen)
	}
	if pr.unresponsive {
		pr.unresponsive, pr.retryAt = false, time.Time{}
	}
	pr.stateKnown = true
	pr.orders = int64(seen.Orders) //nolint:gosec // a count of orders
	pr.running = seen.Running + seen.Queued
}

// showsNoOrder reports whether a state is recent enough to show the last order, and shows
// that the server does not carry it out: it has accepted none, or an earlier one that came
// late and has changed the count of orders.
func (p *Plan) showsNoOrder(pr *progress, seen *ServerState) bool {
	if seen.Busy || pr.expectedOrders < 0 {
		return false
	}
	due := p.loadTime
	switch {
	case int64(seen.Orders) != pr.expectedOrders: //nolint:gosec // a count of orders
		if seen.Version == 0 || seen.Version >= pr.version {
			return false
		}
		due += reportLag
	case !pr.confirmed:
		due = confirmTimeout
	}
	return seen.AskedAt.IsZero() || seen.AskedAt.Sub(pr.since) >= due
}

// OrderAccepted records that the server carries the order out.
func (p *Plan) OrderAccepted(server string) { p.progress(server).confirmed = true }

// OrderRefused records that the server did not accept the order. The server may be
// tried again after a short delay.
func (p *Plan) OrderRefused(now time.Time, server string) {
	pr := p.progress(server)
	pr.phase, pr.orders, pr.stateKnown, pr.retryAt = idle, -1, false, now.Add(retryDelay)
	pr.loadSince, pr.unanswered = time.Time{}, 0
}

// AlreadyLoaded records that the server has the version already.
func (p *Plan) AlreadyLoaded(server string) {
	pr := p.progress(server)
	pr.phase, pr.loadSince, pr.unanswered = idle, time.Time{}, 0
}
