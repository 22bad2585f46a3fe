package experiment

// Overhead is what entry and agent add to calling an engine directly.
type Overhead struct {
	Rate float64 `json:"rate"`
}
