package history_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// catalogInput is either a read or a write of a value, conditional on a generation
// when expect is not 0.
type catalogInput struct {
	read   bool
	value  uint32
	expect uint64
}

// catalogOutput is the result that the operator received.
type catalogOutput struct {
	generation uint64
	value      uint32
	conflict   bool
	refused    bool
	unknown    bool
}

// catalogState is the state of the register: its value and the generation that set it.
type catalogState struct {
	generation uint64
	value      uint32
}

// catalogModel is a register whose generation increases by one with each write.
var catalogModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{catalogState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(catalogState), input.(catalogInput), output.(catalogOutput)
		written := catalogState{generation: s.generation + 1, value: in.value}
		conditionMet := in.expect == 0 || in.expect == s.generation
		switch {
		case in.read && out.generation == s.generation && out.value == s.value:
			return []any{s}
		case in.read:
			return nil
		case out.refused:
			return []any{s}
		case out.conflict:
			if in.expect != s.generation {
				return []any{s}
			}
			return nil
		case out.unknown && conditionMet:
			return []any{s, written}
		case out.unknown:
			return []any{s}
		case conditionMet && out.generation == written.generation:
			return []any{written}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

const historyService = "claims-portal"

func declare(value uint32) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Service{Service: &jayv1.Service{Name: historyService, Concurrency: value}}}
}

// operatorRun is one operator that uses the store of one entry.
type operatorRun struct {
	store  *catalogstore.Store
	random *rand.Rand
	id     int
	seen   uint64
}

func (o *operatorRun) apply(i int) (catalogInput, catalogOutput) {
	in := catalogInput{value: uint32(o.id*1000 + i + 1)}
	if o.random.IntN(2) == 0 {
		in.expect = o.seen
	}
	accepted, err := o.store.Accept(context.Background(), catalogstore.Proposal{
		ChangeID: fmt.Sprint(o.id, "-", i), ExpectGeneration: in.expect,
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			return catalog.Diff(table, []*jayv1.Resource{declare(in.value)}, false), nil
		},
	})
	var conflict *catalogstore.ConflictError
	switch {
	case err == nil:
		o.seen = accepted.Generation
		return in, catalogOutput{generation: accepted.Generation}
	case errors.As(err, &conflict):
		o.seen = conflict.Head
		return in, catalogOutput{conflict: true}
	case errors.Is(err, platform.ErrUnknown):
		return in, catalogOutput{unknown: true}
	}
	return in, catalogOutput{refused: true}
}

func (o *operatorRun) read() (catalogInput, catalogOutput, error) {
	table, err := o.store.Load(context.Background())
	if err != nil {
		return catalogInput{}, catalogOutput{}, err
	}
	service, _ := table.Service(historyService)
	o.seen = table.Generation()
	return catalogInput{read: true}, catalogOutput{generation: table.Generation(), value: service.GetConcurrency()}, nil
}

// Guards against accepted changes that are lost or undone and refused changes that take effect,
// with concurrent operators and a platform that loses requests and answers.
func TestAppliesAndReadsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			operations := catalogHistory(seed)
			model := catalogModel.ToModel()
			result, _ := porcupine.CheckOperationsVerbose(model, operations, 20*time.Second)
			require.Equal(t, porcupine.Ok, result, "%d operations", len(operations))
		})
	}
}

func catalogHistory(seed uint64) []porcupine.Operation {
	const operators, steps = 4, 30
	p := platformtest.New()
	var faultMu sync.Mutex
	faults := rand.New(rand.NewPCG(seed, 99))
	p.OnCommit(func(platform.Txn) platformtest.Fault {
		faultMu.Lock()
		defer faultMu.Unlock()
		return []platformtest.Fault{
			platformtest.Pass, platformtest.Pass, platformtest.Pass, platformtest.LostAnswer, platformtest.LostRequest, platformtest.Unavailable,
		}[faults.IntN(6)]
	})
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for id := range operators {
		o := &operatorRun{store: catalogstore.New(p, p, catalogstore.Options{Attempts: 2}), random: rand.New(rand.NewPCG(seed, uint64(id))), id: id}
		wg.Go(func() {
			for i := range steps {
				call := time.Since(began).Nanoseconds()
				var in catalogInput
				var out catalogOutput
				var err error
				if o.random.IntN(3) == 0 {
					in, out, err = o.read()
				} else {
					in, out = o.apply(i)
				}
				if err != nil {
					continue
				}
				returned := time.Since(began).Nanoseconds()
				if out.unknown {
					// It may take effect at any later time.
					returned = time.Hour.Nanoseconds()
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: returned})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}
