// Package history_test records histories of concurrent runs under failures and
// hands them to Porcupine.
package history_test

import "github.com/anishathalye/porcupine"

// outcome is what a caller heard of its call.
type outcome int

const (
	heardDone outcome = iota
	heardNotRun
	heardDuplicate
	heardDuplicateDone
	// heardNothing: the entry was killed under the call.
	heardNothing
)

// onceModel is one key of a service: it has run or not. A call that was told
// not_run changes nothing, one that heard nothing may have run.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(outcome) {
		case heardDone:
			if ran {
				return nil
			}
			return []any{true}
		case heardDuplicateDone:
			if !ran {
				return nil
			}
			return []any{true}
		case heardNothing:
			if ran {
				return []any{true}
			}
			return []any{false, true}
		default:
			return []any{ran}
		}
	},
}
