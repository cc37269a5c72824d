package journal

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/invariant"
)

// record has the fields of Program without its EncodeMsgpack method, which would
// recurse.
type record Program

// EncodeMsgpack writes the record from its cached encoding, which State.Edit
// invalidates. Most programs do not change between two writes of their shard.
func (p *Program) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if p.encoded == nil {
		encoded, err := msgpack.Marshal((*record)(p))
		if err != nil {
			return err
		}
		p.encoded = encoded
	}
	if invariant.IsFatal() {
		p.checkEncoded()
	}
	return encoder.Encode(msgpack.RawMessage(p.encoded))
}

// checkEncoded panics if the record was modified without State.Edit.
func (p *Program) checkEncoded() {
	var kept, now record
	fresh, err := msgpack.Marshal((*record)(p))
	if err != nil {
		panic(err)
	}
	if msgpack.Unmarshal(p.encoded, &kept) != nil || msgpack.Unmarshal(fresh, &now) != nil {
		panic("journal: encoded program record cannot be decoded")
	}
	var checks *invariant.Checker
	checks.Check(reflect.DeepEqual(kept, now), "encoded record", "a program was modified without Edit: stored %+v, now %+v", kept, now)
}
