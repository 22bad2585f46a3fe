package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzDecodeModelRequest(f *testing.F) {
	f.Add(pathChat, []byte(`{"model":"m:a","stream":true,"messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add(pathChat, []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add(pathCompletions, []byte(`{"model":"m","prompt":["a","b"]}`))
	f.Add(pathCompletions, []byte(`{"model":"m","prompt":[1,2,3],"max_tokens":-1}`))
	f.Add(pathChat, []byte(`[]`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		req, refusal := decodeModelRequest(path, body)
		if refusal != nil {
			assert.Equal(t, CodeInvalidRequest, refusal.Code)
			assert.Equal(t, "not_run", OutcomeName(refusal.Outcome))
			return
		}
		assert.LessOrEqual(t, req.promptBytes(), 8*len(body)+64*len(req.canonical))
		_ = req.maxOutput()
	})
}

func FuzzDecodeResumeToken(f *testing.F) {
	a := newAttempt("req-e1-00", 3)
	a.server, a.nonce = "b1", make([]byte, nonceBytes)
	f.Add((&Entry{}).resumeToken(a))
	f.Add("")
	f.Add("AAAA")
	f.Add("!")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := decodeToken(text)
		if err != nil {
			return
		}
		again, err := decodeToken(encodeToken(token))
		assert.NoError(t, err)
		assert.Equal(t, token.GetRequestId(), again.GetRequestId())
		assert.Equal(t, token.GetNonce(), again.GetNonce())
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add("Bearer jay_k1_secret_with_more")
	f.Add("Bearer jay__")
	f.Fuzz(func(t *testing.T, header string) {
		id, secret, ok := parseKey(header)
		if ok {
			assert.Contains(t, header, "jay_"+id+"_"+secret)
		}
	})
}
