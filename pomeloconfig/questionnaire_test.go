package pomeloconfig_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

func loadExamples(t *testing.T) []pomeloconfig.Answers {
	t.Helper()
	var all []pomeloconfig.Answers
	for _, name := range []string{"jewellers", "hearthway"} {
		answers, err := pomeloconfig.LoadAnswers("../examples/answers/" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, answers)
	}
	return all
}

func TestGenerateIsIndependentOfAnswerOrder(t *testing.T) {
	examples := loadExamples(t)
	forward, err := pomeloconfig.Generate(examples)
	if err != nil {
		t.Fatal(err)
	}
	backward, err := pomeloconfig.Generate([]pomeloconfig.Answers{examples[1], examples[0]})
	if err != nil {
		t.Fatal(err)
	}
	a, b := encode(t, forward), encode(t, backward)
	if !bytes.Equal(a, b) {
		t.Fatal("the order of the answers changes the configuration")
	}
	again, err := pomeloconfig.Parse("a", a)
	if err != nil {
		t.Fatal(err)
	}
	if c := encode(t, again); !bytes.Equal(a, c) {
		t.Fatal("parsing and encoding changes the bytes")
	}
	if len(forward.Accounts) != 32 || len(forward.Upstreams) != 28 || len(forward.Services) != 4 {
		t.Fatalf("generated %d accounts, %d upstreams, %d services", len(forward.Accounts), len(forward.Upstreams), len(forward.Services))
	}
}

func TestQuestionnaireIsValidAndComplete(t *testing.T) {
	answers, err := pomeloconfig.ParseAnswers("questionnaire", []byte(pomeloconfig.Questionnaire()))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pomeloconfig.Generate([]pomeloconfig.Answers{answers}); err != nil {
		t.Fatal(err)
	}
	checkFieldsAreAsked(t, reflect.TypeOf(answers), pomeloconfig.Questionnaire())
}

// checkFieldsAreAsked checks that every field of the answers' types occurs in the questionnaire.
func checkFieldsAreAsked(t *testing.T, typ reflect.Type, text string) {
	t.Helper()
	for typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct || typ.PkgPath() != "github.com/pomelorelay/pomelorelay/pomeloconfig" {
		return
	}
	for i := range typ.NumField() {
		field := typ.Field(i)
		if !strings.Contains(text, field.Name+":") {
			t.Errorf("%s.%s is not in the questionnaire", typ.Name(), field.Name)
		}
		checkFieldsAreAsked(t, field.Type, text)
	}
}

// Each case makes one answer invalid. The error must name the place and the fix.
func TestInvalidAnswersNameLineAndFix(t *testing.T) {
	good := pomeloconfig.Questionnaire()
	for _, c := range []struct {
		from, to string
		code     pomelorelay.ResultCode
		want     string
	}{
		{"MayRepeat: Never", "MayRepeat: Perhaps", pomelorelay.CodeAnswersInvalid, "answer Always or Never"},
		{"ShareTotal: 100", "ShareTotal: 90", pomelorelay.CodeAnswersInvalid, "bad:10: ShareTotal: the shares of the team's accounts add up to 100, not 90"},
		{"FailureDomain: my", "FailureDomain: your", pomelorelay.CodeAnswersInvalid, "Services[0].Upstreams[0].FailureDomain"},
		{"Address: 10.0.0.1:8000", "Address: example.com:8000", pomelorelay.CodeConfigSyntax, `"example.com:8000" cannot be read; give an IP number`},
		{"Kind: Plain", "Kind: Plane", pomelorelay.CodeAnswersInvalid, "use ModelEngine or Plain"},
		{"Team:", "Teem:", pomelorelay.CodeConfigUnknownField, "bad:"},
		{"# Cost:", "Cost: {Maximum: -1}", pomelorelay.CodeAnswersInvalid, "Services[0].Cost.Maximum: -1 is out of bounds"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("the questionnaire has no %q", c.from)
		}
		_, err := pomeloconfig.ParseAnswers("bad", []byte(strings.Replace(good, c.from, c.to, 1)))
		if !pomelorelay.IsErrCode(err, c.code) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %d with %q", c.to, err, c.code, c.want)
		}
	}
}

// Two teams use the same name for different services. If Generate accepted this, requests for one service would reach the upstreams of the
// other.
func TestGenerateRejectsDuplicateServiceNames(t *testing.T) {
	examples := loadExamples(t)
	second := examples[0]
	second.Team = "others"
	_, err := pomeloconfig.Generate([]pomeloconfig.Answers{examples[0], second})
	if !pomelorelay.IsErrCode(err, pomelorelay.CodeAnswersInvalid) || !strings.Contains(err.Error(), `"booking" is already used`) {
		t.Fatalf("error for a duplicate service name: %v", err)
	}
}

func encode(t *testing.T, c pomeloconfig.Configuration) []byte {
	t.Helper()
	data, err := pomeloconfig.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
