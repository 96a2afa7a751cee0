package peer

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// fillFields sets each field of v to a distinct value that is not zero.
func fillFields(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillFields(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(string(rune('a' + *next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 200))
	default:
		panic("fields of kind " + v.Kind().String() + " have no test value")
	}
}

// roundTrip encodes and decodes a message with all fields set and compares the
// result with the original.
func roundTrip[M any, P protoreflect.ProtoMessage](t *testing.T, to func(M) P, from func(P) M) {
	t.Helper()
	var m M
	next := 0
	fillFields(reflect.ValueOf(&m).Elem(), &next)
	wire, err := proto.Marshal(to(m))
	if err != nil {
		t.Fatal(err)
	}
	var zero P
	decoded := zero.ProtoReflect().New().Interface().(P)
	if err := proto.Unmarshal(wire, decoded); err != nil {
		t.Fatal(err)
	}
	got := from(decoded)
	ignoreAddr := cmp.FilterPath(func(p cmp.Path) bool {
		// The address of a membership message is not transmitted.
		return len(p) == 2 && p.String() == "Addr"
	}, cmp.Ignore())
	if diff := cmp.Diff(m, got, ignoreAddr); diff != "" {
		t.Errorf("%T (-sent +received):\n%s", m, diff)
	}
}

// Guards against a field that is added to a message but not converted. Without
// the incarnation in mirror messages, for example, no reservation is mirrored.
func TestMessagesKeepAllFields(t *testing.T) {
	roundTrip(t, reserveToProto, reserveFromProto)
	roundTrip(t, extendToProto, extendFromProto)
	roundTrip(t, settleToProto, settleFromProto)
	roundTrip(t, registerToProto, registerFromProto)
	roundTrip(t, replyToProto, replyFromProto)
	roundTrip(t, mirrorToProto, mirrorFromProto)
	roundTrip(t, mirrorAnswerToProto, mirrorAnswerFromProto)
	roundTrip(t, reclaimToProto, reclaimFromProto)
	roundTrip(t, messageToProto, messageFromProto)
}
