package objectapi

// PutReply is the response body of a PUT.
type PutReply struct {
	Version int64 `json:"version"`
}

// ListReply is the response body of a listing. Objects are sorted by key.
type ListReply struct {
	Objects  []Object `json:"objects"`
	Revision int64    `json:"revision"`
}

// WatchReply is the response body of a long poll. Events are sorted by version.
type WatchReply struct {
	Events   []Event `json:"events"`
	Revision int64   `json:"revision"`
}
