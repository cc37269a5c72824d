package structs

// ShareReport is what one daemon's dispatchers gave to one entry since the daemon
// started. GET /v1/shares answers with a list of the entries that received
// something or have requests waiting.
type ShareReport struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// Granted is the entry's share: its weight among the listed entries.
	Granted float64 `json:"granted"`
	// ReceivedTokens is the service that the entry had.
	ReceivedTokens int `json:"received_tokens"`
	// Waiting is the number of its requests that wait now.
	Waiting int `json:"waiting"`
}
