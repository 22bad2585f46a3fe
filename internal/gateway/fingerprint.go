package gateway

import "github.com/jayproxy/jayproxy/internal/quarantine"

// fingerprint of the request. It is worked out when it is first needed: hashing
// the body of each request would cost all for the sake of a few.
func (j *job) fingerprint() quarantine.Fingerprint {
	if j.identity != nil {
		return *j.identity
	}
	identity := quarantine.Identity{
		Host: j.caller.Host, Method: j.message.Method, Target: j.message.Target, Body: j.message.Body,
	}
	if j.workspace != nil {
		identity.Caller = j.workspace.Name
	}
	fingerprint := identity.Fingerprint()
	j.identity = &fingerprint
	return fingerprint
}

// fingerprintOf a send that may have run, for logs; empty for others.
func (j *job) fingerprintOf(outcome result) string {
	if outcome == notSent {
		return ""
	}
	return j.fingerprint().String()
}
