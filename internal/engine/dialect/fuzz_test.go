package dialect

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/engine"
)

func FuzzMerleStream(f *testing.F) {
	f.Add([]byte("id: 1:0:d:r\ndata: {}\n\nid: 1:1:d:r\nevent: usage\ndata: {\"usage\":{\"prompt_tokens\":3}}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1:x:%zz:r\ndata: {\n\n"))
	f.Add([]byte(": comment\r\n\r\ndata:a\ndata:b"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := newSSEReader(bytes.NewReader(input))
		for {
			wire, err := reader.next()
			if err != nil {
				return
			}
			event, ok, err := decodeMerleChunk(wire)
			if err == nil && ok {
				assert.LessOrEqual(t, len(event.Data), len(input))
			}
		}
	})
}

func FuzzPicaEnvelope(f *testing.F) {
	f.Add([]byte(`{"rid":"r","n":3,"boot":1,"weights":"d","chunk":{}}`))
	f.Add([]byte(`{"rid":"r","n":3,"fin":{"p":1,"c":2,"o":3},"chunk":{}}`))
	f.Add([]byte(`{"n":-1}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		event, err := decodePicaEnvelope(input)
		if err == nil {
			require.NotEmpty(t, event.Data)
		}
	})
}

func FuzzMerleEvent(f *testing.F) {
	f.Add([]byte(`{"boot":1,"seq":2,"kind":"stored","blocks":["ff","0"],"age_ms":3}`))
	f.Add([]byte(`{"kind":"lost"}`))
	f.Add([]byte(`{"kind":"stored","blocks":["zz"]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		event, err := decodeMerleEvent(line)
		if err == nil {
			assert.NotZero(t, event.Kind)
		}
		_, _ = decodeMerleSnapshot(line)
	})
}

func FuzzPicaFrames(f *testing.F) {
	frame := []byte{29, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 9, 9, 9, 9, 9, 9, 9, 9}
	f.Add(frame)
	f.Add([]byte{255, 255, 255, 255})
	f.Add([]byte{21, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := bytes.NewReader(input)
		for {
			event, err := readPicaFrame(reader)
			if err != nil {
				return
			}
			assert.LessOrEqual(t, 8*len(event.Blocks), len(input))
		}
	})
}

func FuzzState(f *testing.F) {
	f.Add([]byte(`{"boot":1,"running":2,"kv":{"used":1,"total":2},"models":[{"digest":"d"}]}`))
	f.Add([]byte("pica_boot 1\npica_kv_usage_ratio 0.5\npica_kv_blocks 10\npica_weights{digest=\"d\"} 1\n"))
	f.Add([]byte("pica_boot 1\npica_kv_usage_ratio NaN\npica_kv_blocks 10\n"))
	f.Add([]byte("pica_role{name=\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		_, _ = decodeMerleState(input)
		state, err := decodePicaState(input)
		if err == nil {
			assert.LessOrEqual(t, state.CachedBlocks, state.CapacityBlocks)
			assert.GreaterOrEqual(t, state.CachedBlocks, 0)
		}
	})
}

func TestSSEReaderReportsTruncatedStream(t *testing.T) {
	reader := newSSEReader(bytes.NewReader([]byte("data: a\n\ndata: b\n")))
	event, err := reader.next()
	require.NoError(t, err)
	assert.Equal(t, "a", string(event.data))
	_, err = reader.next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = readLine(bufio.NewReader(bytes.NewReader(bytes.Repeat([]byte("x"), maxLine+1))))
	require.ErrorIs(t, err, ErrMalformed)
}

func TestPicaPriorityIsInverted(t *testing.T) {
	assert.Equal(t, 9, picaPriority(0))
	assert.Equal(t, 0, picaPriority(100))
	assert.Equal(t, 0, picaPriority(1000))
	assert.Equal(t, 9, picaPriority(-1))
	assert.NotEmpty(t, merleOrders)
	_, err := withMerleFields(engine.Request{Body: []byte("[]")})
	require.ErrorIs(t, err, engine.ErrRefused)
}
