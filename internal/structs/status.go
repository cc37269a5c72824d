package structs

// ShareReport is the service that the dispatchers of one daemon gave to one entry
// since the daemon started. GET /v1/shares returns a list of the entries that
// received service or have requests waiting.
type ShareReport struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// Granted is the share of the entry: its weight relative to the listed entries.
	Granted float64 `json:"granted"`
	// ReceivedTokens is the service that the entry received, in tokens.
	ReceivedTokens int `json:"received_tokens"`
	// Waiting is the number of requests of the entry that are currently queued.
	Waiting int `json:"waiting"`
}
