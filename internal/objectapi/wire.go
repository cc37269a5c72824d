package objectapi

// PutReply answers a PUT of the object API.
type PutReply struct {
	Version int64 `json:"version"`
}

// ListReply answers a listing. Objects are sorted by key.
type ListReply struct {
	Objects  []Object `json:"objects"`
	Revision int64    `json:"revision"`
}

// WatchReply answers a long poll. Events are in the order of their versions.
type WatchReply struct {
	Events   []Event `json:"events"`
	Revision int64   `json:"revision"`
}
