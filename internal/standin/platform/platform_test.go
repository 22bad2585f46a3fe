package platform_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/platform"
	standin "github.com/jayproxy/jayproxy/internal/standin/platform"
)

func start(t *testing.T, options standin.Options) (*standin.Platform, *platform.Client) {
	t.Helper()
	p, err := standin.Start(options)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	client := platform.NewClient(p.URL(), platform.ClientOptions{Timeout: 2 * time.Second})
	t.Cleanup(client.Close)
	return p, client
}

func put(key, value string, version uint64) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestTransactionsAreConditionalAndVersionsIncrease(t *testing.T) {
	ctx := context.Background()
	_, client := start(t, standin.Options{})
	first, err := client.Commit(ctx, put("a/1", "one", 0))
	require.NoError(t, err)
	require.True(t, first.Committed)
	again, err := client.Commit(ctx, put("a/1", "two", 0))
	require.NoError(t, err)
	require.False(t, again.Committed)
	assert.Equal(t, []platform.Row{{Key: "a/1", Value: []byte("one"), Version: first.Commit}}, again.Failed)
	second, err := client.Commit(ctx, put("a/2", "two", 0))
	require.NoError(t, err)
	assert.Greater(t, second.Commit, first.Commit)
	rows, err := client.Range(ctx, "a/", "a/1", 10)
	require.NoError(t, err)
	assert.Equal(t, []platform.Row{{Key: "a/2", Value: []byte("two"), Version: second.Commit}}, rows)
	rows, err = client.Get(ctx, "a/1", "none")
	require.NoError(t, err)
	assert.Len(t, rows, 1)
}

func TestObjectsAndWeights(t *testing.T) {
	ctx := context.Background()
	_, client := start(t, standin.Options{Weights: map[string]int64{"d1": 100_000}})
	require.NoError(t, client.PutObject(ctx, "catalog/7 of/x", []byte("body")))
	body, err := client.GetObject(ctx, "catalog/7 of/x")
	require.NoError(t, err)
	assert.Equal(t, "body", string(body))
	keys, err := client.ListObjects(ctx, "catalog/")
	require.NoError(t, err)
	assert.Equal(t, []string{"catalog/7 of/x"}, keys)
	require.NoError(t, client.DeleteObject(ctx, "catalog/7 of/x"))
	_, err = client.GetObject(ctx, "catalog/7 of/x")
	require.ErrorIs(t, err, platform.ErrNotFound)
	size, err := client.Stat(ctx, "d1")
	require.NoError(t, err)
	assert.EqualValues(t, 100_000, size)
	weights, err := client.Open(ctx, "d1")
	require.NoError(t, err)
	defer weights.Close()
	read, err := io.Copy(io.Discard, weights)
	require.NoError(t, err)
	assert.EqualValues(t, 100_000, read)
	_, err = client.Stat(ctx, "d2")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against reporting a commit as not made when its answer is lost after the
// write, and against the HTTP transport repeating the commit.
func TestLostAnswerIsUnknownAndWrittenOnce(t *testing.T) {
	ctx := context.Background()
	p, client := start(t, standin.Options{})
	_, err := client.Get(ctx, "warm the connection")
	require.NoError(t, err)
	p.SetFaults(standin.Faults{LoseNext: 1})
	_, err = client.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("v")}}})
	require.ErrorIs(t, err, platform.ErrUnknown)
	require.False(t, errors.Is(err, platform.ErrUnavailable))
	rows, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	assert.EqualValues(t, 1, p.Counts().Writes)
}

func TestRefusalsBeforeTheWriteAreUnavailable(t *testing.T) {
	ctx := context.Background()
	p, client := start(t, standin.Options{WritesPerSecond: 0.001})
	txn := platform.Txn{Puts: []platform.Put{{Key: "k"}}}
	p.SetFaults(standin.Faults{Outage: true})
	_, err := client.Commit(ctx, txn)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	p.SetFaults(standin.Faults{})
	_, err = client.Commit(ctx, txn)
	require.NoError(t, err)
	_, err = client.Commit(ctx, txn)
	require.ErrorIs(t, err, platform.ErrUnavailable, "above the rate limit")
	p.Down()
	_, err = client.Commit(ctx, txn)
	require.Error(t, err)
	_, err = client.Commit(ctx, txn)
	require.ErrorIs(t, err, platform.ErrUnavailable, "refused connection")
	require.NoError(t, p.Up())
	_, err = client.Get(ctx, "k")
	require.NoError(t, err)
}

func TestHangEndsWithTheCallersDeadlineAsUnknown(t *testing.T) {
	p, client := start(t, standin.Options{})
	p.SetFaults(standin.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := client.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "k"}}})
	require.ErrorIs(t, err, platform.ErrUnknown)
	_, err = client.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestVMListLagsAndSendsChanges(t *testing.T) {
	ctx := context.Background()
	p, client := start(t, standin.Options{})
	p.SetVM(platform.VM{Name: "a", State: platform.VMLive})
	p.SetVM(platform.VM{Name: "b", State: platform.VMLive})
	list, err := client.List(ctx, 0)
	require.NoError(t, err)
	require.True(t, list.Complete)
	require.Len(t, list.VMs, 2)
	p.SetVM(platform.VM{Name: "b", State: platform.VMDraining})
	p.SetFaults(standin.Faults{VMLagMS: 3_600_000})
	late, err := client.List(ctx, list.Revision)
	require.NoError(t, err)
	assert.Empty(t, late.VMs, "the change is younger than the lag")
	p.SetFaults(standin.Faults{})
	delta, err := client.List(ctx, list.Revision)
	require.NoError(t, err)
	assert.False(t, delta.Complete)
	assert.Equal(t, []platform.VM{{Name: "b", State: platform.VMDraining}}, delta.VMs)
}

func TestFaultEndpointRejectsUnknownNames(t *testing.T) {
	p, _ := start(t, standin.Options{})
	post := func(path, body string) int {
		response, err := httpPost(p.URL()+path, body)
		require.NoError(t, err)
		return response
	}
	assert.Equal(t, 200, post("/faults?outage=true&lost_answers=0.5", ""))
	assert.Equal(t, standin.Faults{Outage: true, LostAnswers: 0.5}, p.Faults())
	assert.Equal(t, 200, post("/faults", `{"outage":false}`))
	assert.Equal(t, standin.Faults{LostAnswers: 0.5}, p.Faults())
	assert.Equal(t, 400, post("/faults?no_such_fault=1", ""))
}

func FuzzCommitBody(f *testing.F) {
	f.Add([]byte(`{"puts":[{"key":"a","value":"dg=="}]}`))
	f.Add([]byte(`{"conditions":[{"key":"a","version":1}],"deletes":["a"]}`))
	p, err := standin.Start(standin.Options{WritesPerSecond: 1e9})
	require.NoError(f, err)
	f.Cleanup(p.Close)
	f.Fuzz(func(t *testing.T, body []byte) {
		status, err := httpPost(p.URL()+platform.PathCommit, string(bytes.ToValidUTF8(body, nil)))
		require.NoError(t, err)
		assert.Less(t, status, 500)
	})
}

func httpPost(url, body string) (int, error) {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
