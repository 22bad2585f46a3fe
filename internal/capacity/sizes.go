package capacity

// Sizes is what the users expect within two years (letter 1).
type Sizes struct {
	Entries           float64
	BackendServers    float64
	DataCentres       float64
	Regions           float64
	RequestsPerSec    float64
	TokensPerSec      float64
	CachedBlocks      float64
	EventsPerSec      float64
	Workspaces        float64
	Models            float64
	ChangesPerDay     float64
	VMsReplacedPerDay float64
	// What the platform grants, and the share of a node's budget for control.
	PlatformReads  float64
	PlatformWrites float64
	CoreShare      float64
	MemoryBytes    float64
	BytesPerSec    float64
	// SecondsBetweenTokens at the bound of the letter.
	SecondsBetweenTokens float64
	ChangeSeconds        float64
}

// TwoYearForecast is the size of the letter, with the brief's platform: several
// hundred writes, read as 400, and about two thousand reads a second.
func TwoYearForecast() Sizes {
	return Sizes{
		Entries: 810, BackendServers: 7000, DataCentres: 22, Regions: 7,
		RequestsPerSec: 130e3, TokensPerSec: 26e6, CachedBlocks: 160e6, EventsPerSec: 8.3e6,
		Workspaces: 220, Models: 26, ChangesPerDay: 16000, VMsReplacedPerDay: 1100 + 47,
		PlatformReads: 2000, PlatformWrites: 400,
		CoreShare: 0.014, MemoryBytes: 64 << 20, BytesPerSec: 2 << 10,
		SecondsBetweenTokens: 0.034, ChangeSeconds: 5,
	}
}

func (s Sizes) entriesPerDC() float64     { return s.Entries / s.DataCentres }
func (s Sizes) serversPerDC() float64     { return s.BackendServers / s.DataCentres }
func (s Sizes) requestsPerEntry() float64 { return s.RequestsPerSec / s.Entries }
func (s Sizes) requestsPerServer() float64 {
	return s.RequestsPerSec / s.BackendServers
}
func (s Sizes) blocksPerServer() float64  { return s.CachedBlocks / s.BackendServers }
func (s Sizes) eventsPerServer() float64  { return s.EventsPerSec / s.BackendServers }
func (s Sizes) changesPerSecond() float64 { return s.ChangesPerDay / 86400 }
func (s Sizes) objects() float64 {
	const rulesPerWorkspace = 2
	return s.BackendServers + s.Models + s.Workspaces*(1+rulesPerWorkspace)
}

// openStreamsPerEntry by Little's law: requests a second times their duration,
// which is the tokens of an answer times the time between two.
func (s Sizes) openStreamsPerEntry() float64 {
	tokens := s.TokensPerSec / s.RequestsPerSec
	return s.requestsPerEntry() * tokens * s.SecondsBetweenTokens
}
