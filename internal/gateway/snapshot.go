package gateway

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// snapshotReuse is how long an encoded table is served to further readers. When all
// entries start, a relay has some twenty of them at once.
const snapshotReuse = 250 * time.Millisecond

// snapshotCache holds a complete table as it is sent to other entries, encoded once for
// all that ask for it at about the same time: the memory of a relay must not grow with the
// number of its readers times the size of the list.
type snapshotCache struct {
	mu sync.Mutex
	// data is the encoded batch; age is how old the table was at encodedAt.
	data      []byte
	encodedAt time.Time
	age       time.Duration
}

// get returns a complete table as a tableResponse in JSON. encode returns the batch and its
// age.
func (c *snapshotCache) get(now time.Time, encode func() (batch any, age time.Duration)) (prefix string, rest []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data == nil || now.Sub(c.encodedAt) >= snapshotReuse {
		batch, age := encode()
		data, err := json.Marshal(batch)
		if err != nil {
			return "", nil, err
		}
		c.data, c.encodedAt, c.age = data, now, age
	}
	age := c.age + now.Sub(c.encodedAt)
	return fmt.Sprintf(`{"age_ms":%d,`, age.Milliseconds()), c.data[1:], nil
}
