// Package history_test records histories of concurrent operations under failures and
// checks them for linearizability with Porcupine.
package history_test

import "github.com/anishathalye/porcupine"

// outcome is the result of a call that its caller received.
type outcome int

const (
	outcomeDone outcome = iota
	outcomeNotRun
	outcomeDuplicate
	outcomeDuplicateDone
	// outcomeUnknown means that no definite result arrived, for example since the entry
	// was killed during the call.
	outcomeUnknown
)

// onceModel is the model of one key of a service, which has run or not. A call with
// outcomeNotRun or outcomeDuplicate changes nothing; one with outcomeUnknown may have
// run.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(outcome) {
		case outcomeDone:
			if ran {
				return nil
			}
			return []any{true}
		case outcomeDuplicateDone:
			if !ran {
				return nil
			}
			return []any{true}
		case outcomeUnknown:
			if ran {
				return []any{true}
			}
			return []any{false, true}
		default:
			return []any{ran}
		}
	},
}
