package structs

// ShareReport is what one daemon's dispatchers gave to one entry during the time
// that they look back. GET /v1/shares answers with a list of them.
type ShareReport struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// Granted is the part of the service, 0 to 1, that the entry's share grants
	// among the entries with demand at these dispatchers.
	Granted float64 `json:"granted"`
	// ReceivedTokens is the service that the entry had.
	ReceivedTokens int `json:"received_tokens"`
	// Waiting is the number of its requests that wait now.
	Waiting int `json:"waiting"`
}
