package structs

// DaemonStatus answers GET /v1/status of a daemon.
type DaemonStatus struct {
	Instance   string `json:"instance"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
	// CatalogueRevision is the platform revision up to which all catalogue
	// edits are in force at the daemon.
	CatalogueRevision int64 `json:"catalogue_revision"`
	// Admits is false while the daemon refuses new work because its catalogue
	// may be out of date.
	Admits bool `json:"admits"`
}

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
