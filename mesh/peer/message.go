package peer

// streamHeader is the first frame of each stream and names the method.
type streamHeader struct {
	Method string `cbor:"1,keyasint"`
}

// reply is the last frame of a unary call and the only one on a stream whose method
// is refused. Error is empty on success.
type reply struct {
	Error string `cbor:"1,keyasint,omitempty"`
	Code  string `cbor:"2,keyasint,omitempty"`
	Body  []byte `cbor:"3,keyasint,omitempty"`
}

// request is the second frame of a unary call, after streamHeader.
type request struct {
	Body []byte `cbor:"1,keyasint"`
}
