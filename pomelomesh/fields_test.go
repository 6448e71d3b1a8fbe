package pomelomesh_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

// emptyMessages holds the messages whose fields are filled before the round trip.
var emptyMessages = []pomelorelay.Message{
	&pomelorelay.Demand{}, &pomelorelay.Grant{}, &pomelorelay.GrantReply{}, &pomelorelay.RunningQuery{}, &pomelorelay.RunningReport{},
	&pomelorelay.LedgerReport{}, &pomelorelay.LedgerTotals{}, &pomelorelay.LedgerQuery{}, &pomelorelay.LedgerComponent{},
	&pomelorelay.LedgerComponentQuery{}, &pomelorelay.Digest{}, &pomelorelay.Probe{}, &pomelorelay.ProbeAck{}, &pomelorelay.ConfigPull{},
	&pomelorelay.ConfigPush{}, &pomelorelay.ConfigApplied{}, &pomelorelay.ClaimAsk{}, &pomelorelay.ClaimAnswer{}, &pomelorelay.ClaimSettle{},
	&pomelorelay.ClaimSettled{}, &pomelorelay.SuspectNotice{}, &pomelorelay.SuspectAsk{}, &pomelorelay.SuspectAnswer{},
	&pomelorelay.SuspectCleared{}, &pomelorelay.QuarantineNotice{}, &pomelorelay.LeavingNotice{}, &pomelorelay.Farewell{},
}

// fill sets every field below v to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("name")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(2.5)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(2)
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(int64(2 * time.Second))
		}
	default:
		v.SetUint(2)
	}
}

func TestEveryFieldRoundTrips(t *testing.T) {
	// Guards against a message field that the codec omits. Receivers would act on its zero value: a crash suspect (a
	// request that may have crashed an upstream) that completed cleanly would be reported as one that did not, and all
	// routers would go on delaying that request.
	for _, m := range emptyMessages {
		fill(reflect.ValueOf(m).Elem())
		data, err := pomelomesh.EncodeMessage(m)
		if err != nil {
			t.Errorf("%T: %v", m, err)
			continue
		}
		got, err := pomelomesh.DecodeMessage(data)
		if err != nil {
			t.Errorf("%T: %v", m, err)
			continue
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("%T decoded as %+v, want %+v", m, got, m)
		}
	}
}
