package claim

import (
	"reflect"
	"testing"
)

// Guards against a write that ran and stays without a recorded answer because a header of
// the answer is not UTF-8, which HTTP allows.
func TestAnswerWithForeignBytesIsRecorded(t *testing.T) {
	c := completeCommand(keyAt(t0, "a"), "t1", t0, "ok")
	c.Answer.Headers = []Header{{Name: "X-Note", Value: "caf\xe9"}}
	b, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeCommand(b)
	if err != nil || !reflect.DeepEqual(got.Answer, c.Answer) {
		t.Errorf("%+v, %v", got, err)
	}
}
