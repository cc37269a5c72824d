package journal

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/invariant"
)

// record is a Program without its encoder.
type record Program

// EncodeMsgpack writes the record, encoded anew only after an edit: most
// programs do not change between two writes of their shard.
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

// checkEncoded panics when the record was modified without State.Edit.
func (p *Program) checkEncoded() {
	var kept, now record
	fresh, err := msgpack.Marshal((*record)(p))
	if err != nil {
		panic(err)
	}
	if msgpack.Unmarshal(p.encoded, &kept) != nil || msgpack.Unmarshal(fresh, &now) != nil {
		panic("record of a program does not decode")
	}
	var checks *invariant.Checker
	checks.Check(reflect.DeepEqual(kept, now), "encoded record", "a program was modified without Edit: stored %+v, now %+v", kept, now)
}
