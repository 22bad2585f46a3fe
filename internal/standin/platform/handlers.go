package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/standin"
)

const (
	// maxBody bounds a request's body, in bytes.
	maxBody = 64 << 20
	// weightPiece is the size in bytes of one write when weights are sent.
	weightPiece = 64 << 10
)

// kind of a call: which rate limit applies, and whether its answer may get lost.
type kind int

const (
	unlimited kind = iota
	read
	write
)

// answer is the response of a handler; guard sends it unless it is to be lost.
type answer struct {
	status int
	// json is sent if it is set, otherwise body.
	json any
	body []byte
	// stream writes the response itself, if set.
	stream func(c echo.Context) error
}

type handler func(c echo.Context) answer

func invalid(err error) answer {
	return answer{status: http.StatusBadRequest, body: []byte(err.Error())}
}

// guard applies the faults and the rate limits to a handler: delay, hang and
// refusals before the call is carried out, a lost answer after it.
func (p *Platform) guard(kind kind, handle handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		faults := p.Faults()
		if !wait(c, time.Duration(faults.DelayMS)*time.Millisecond) {
			return nil
		}
		if faults.Hang {
			<-c.Request().Context().Done()
			return nil
		}
		if faults.Outage {
			return p.refuse(c, http.StatusServiceUnavailable)
		}
		if !p.admit(kind) {
			return p.refuse(c, http.StatusTooManyRequests)
		}
		result := handle(c)
		p.count(kind, c, result)
		if kind == write && p.losesAnswer() {
			return closeConnection(c)
		}
		return send(c, result)
	}
}

func wait(c echo.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

func (p *Platform) admit(kind kind) bool {
	var limiter *rate.Limiter
	switch kind {
	case read:
		limiter = p.reads
	case write:
		limiter = p.writes
	default:
		return true
	}
	return limiter.Allow()
}

func (p *Platform) refuse(c echo.Context, status int) error {
	p.mu.Lock()
	p.counts.Refused++
	p.mu.Unlock()
	return c.NoContent(status)
}

func (p *Platform) count(kind kind, c echo.Context, result answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	p.counts.Bytes += uint64(max(c.Request().ContentLength, 0)) + uint64(len(result.body))
}

// losesAnswer reports whether the answer of the current write is to be lost.
func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.faults.LoseNext > 0 || p.random.Float64() < p.faults.LostAnswers
	if p.faults.LoseNext > 0 {
		p.faults.LoseNext--
	}
	if lost {
		p.counts.Lost++
	}
	return lost
}

// closeConnection closes the connection without a response.
func closeConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

func send(c echo.Context, result answer) error {
	switch {
	case result.stream != nil:
		return result.stream(c)
	case result.json != nil:
		return c.JSON(http.StatusOK, result.json)
	case result.status == 0:
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, result.body)
	default:
		return c.Blob(result.status, echo.MIMETextPlain, result.body)
	}
}

func decode(c echo.Context, target any) error {
	return json.NewDecoder(io.LimitReader(c.Request().Body, maxBody)).Decode(target)
}

func (p *Platform) getRows(c echo.Context) answer {
	var request platform.GetRequest
	if err := decode(c, &request); err != nil {
		return invalid(err)
	}
	return answer{json: p.table.get(request.Keys)}
}

func (p *Platform) rangeRows(c echo.Context) answer {
	var request platform.RangeRequest
	if err := decode(c, &request); err != nil {
		return invalid(err)
	}
	return answer{json: p.table.scan(request)}
}

func (p *Platform) commit(c echo.Context) answer {
	var txn platform.Txn
	if err := decode(c, &txn); err != nil {
		return invalid(err)
	}
	if len(txn.Puts)+len(txn.Deletes) > platform.MaxTxnRows {
		return answer{status: http.StatusRequestEntityTooLarge, body: []byte("too many rows in one transaction")}
	}
	return answer{json: p.table.apply(txn)}
}

func (p *Platform) listObjects(c echo.Context) answer {
	return answer{json: p.objects.list(c.QueryParam("prefix"))}
}

func (p *Platform) getObject(c echo.Context) answer {
	body, ok := p.objects.get(standin.Param(c, "key"))
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{body: body}
}

func (p *Platform) putObject(c echo.Context) answer {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil {
		return invalid(err)
	}
	p.objects.put(standin.Param(c, "key"), body)
	return answer{status: http.StatusNoContent}
}

func (p *Platform) deleteObject(c echo.Context) answer {
	p.objects.remove(standin.Param(c, "key"))
	return answer{status: http.StatusNoContent}
}

func (p *Platform) listVMs(c echo.Context) answer {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return invalid(err)
	}
	lag := p.options.VMLag
	if ms := p.Faults().VMLagMS; ms > 0 {
		lag = time.Duration(ms) * time.Millisecond
	}
	return answer{json: p.vms.list(time.Now(), lag, after)}
}

func (p *Platform) weightSize(digest string) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, ok := p.sizes[digest]
	return size, ok
}

func (p *Platform) statWeights(c echo.Context) answer {
	size, ok := p.weightSize(standin.Param(c, "digest"))
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{stream: func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentLength, strconv.FormatInt(size, 10))
		return c.NoContent(http.StatusOK)
	}}
}

// sendWeights sends zero bytes at the rate that all readers share.
func (p *Platform) sendWeights(c echo.Context) answer {
	size, ok := p.weightSize(standin.Param(c, "digest"))
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{stream: func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentLength, strconv.FormatInt(size, 10))
		c.Response().WriteHeader(http.StatusOK)
		piece := make([]byte, weightPiece)
		for left := size; left > 0; left -= weightPiece {
			n := int(min(left, weightPiece))
			if err := p.weights.WaitN(c.Request().Context(), n); err != nil {
				return err
			}
			if _, err := c.Response().Write(piece[:n]); err != nil {
				return err
			}
		}
		return nil
	}}
}

func (p *Platform) changeFaults(c echo.Context) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if err := standin.MergeFaults(c.Request(), &faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

func (p *Platform) changeVM(c echo.Context) error {
	var vm platform.VM
	if err := decode(c, &vm); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.SetVM(vm)
	return c.NoContent(http.StatusNoContent)
}
