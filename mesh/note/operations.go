package note

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamtrail.org/mesh/model"
)

const (
	// operationLifetime is how long the result of an operation is kept for resends.
	operationLifetime = 24 * time.Hour
	// maxOperations bounds the kept results.
	maxOperations = 100_000
)

// operation is the kept result of an operator's command.
type operation struct {
	Operator model.OperatorName `cbor:"1,keyasint"`
	ID       model.OperationID  `cbor:"2,keyasint"`
	Time     time.Time          `cbor:"3,keyasint"`
	// Digest distinguishes a resend from another command with the same ID.
	Digest uint64 `cbor:"4,keyasint"`
	Result Result `cbor:"5,keyasint"`
}

type operationKey struct {
	operator model.OperatorName
	id       model.OperationID
}

// operations keeps results in the order of their commands.
type operations struct {
	byKey map[operationKey]*operation
	// order lists the operations from the oldest; those before head were removed.
	order []*operation
	head  int
	limit int
}

func newOperations(limit int) operations {
	return operations{byKey: map[operationKey]*operation{}, limit: limit}
}

func (o *operation) key() operationKey { return operationKey{o.Operator, o.ID} }

// find returns the kept result of a resent command. It refuses another command
// with the same operation ID.
func (o *operations) find(c Command, digest uint64) (Result, bool) {
	op, ok := o.byKey[operationKey{c.Operator, c.Operation}]
	if !ok {
		return Result{}, false
	}
	if op.Digest != digest {
		return refusal(ErrOperationReused), true
	}
	return op.Result, true
}

func (o *operations) add(op *operation) {
	o.byKey[op.key()] = op
	o.order = append(o.order, op)
	if len(o.order)-o.head > o.limit {
		o.dropOldest()
	}
}

// expire removes the results that are older than operationLifetime.
func (o *operations) expire(now time.Time) {
	for o.head < len(o.order) && now.Sub(o.order[o.head].Time) >= operationLifetime {
		o.dropOldest()
	}
}

func (o *operations) dropOldest() {
	delete(o.byKey, o.order[o.head].key())
	o.order[o.head] = nil
	o.head++
	if o.head > len(o.order)/2 {
		o.order = append([]*operation(nil), o.order[o.head:]...)
		o.head = 0
	}
}

func (o *operations) all() []*operation { return o.order[o.head:] }

// digest returns a hash of the command without its time, which differs in a resend.
func (c Command) digest() uint64 {
	c.Time = time.Time{}
	raw, err := EncodeCommand(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
