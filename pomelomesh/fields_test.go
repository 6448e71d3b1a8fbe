package pomelomesh_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

// everyMessage has one message of each kind, to be filled.
var everyMessage = []pomelorelay.Message{
	&pomelorelay.Demand{}, &pomelorelay.Grant{}, &pomelorelay.GrantReply{}, &pomelorelay.RunningQuery{}, &pomelorelay.RunningReport{},
	&pomelorelay.LedgerReport{}, &pomelorelay.LedgerTotals{}, &pomelorelay.LedgerQuery{}, &pomelorelay.LedgerComponent{},
	&pomelorelay.LedgerComponentQuery{}, &pomelorelay.Digest{}, &pomelorelay.Probe{}, &pomelorelay.ProbeAck{}, &pomelorelay.ConfigPull{},
	&pomelorelay.ConfigPush{}, &pomelorelay.ConfigApplied{}, &pomelorelay.ClaimAsk{}, &pomelorelay.ClaimAnswer{}, &pomelorelay.ClaimSettle{},
	&pomelorelay.ClaimSettled{}, &pomelorelay.SuspectNotice{}, &pomelorelay.SuspectAsk{}, &pomelorelay.SuspectAnswer{},
	&pomelorelay.SuspectCleared{}, &pomelorelay.QuarantineNotice{}, &pomelorelay.LeavingNotice{}, &pomelorelay.Farewell{},
}

// fill sets every field below v to something that is not its zero.
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
	// A part gives a message a new field and the codec is forgotten. Routers then act on its zero: a suspect that ended clean
	// would arrive as one that did not, and stay held everywhere.
	for _, m := range everyMessage {
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
			t.Errorf("%T arrived as %+v instead of %+v", m, got, m)
		}
	}
}
