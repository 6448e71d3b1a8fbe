package pomeloconfig

import (
	"fmt"
	"strings"
)

// Question is one line of the questionnaire, with the question that the line answers.
type Question struct {
	// Line is the answer's line in the file, with an example or the default value.
	Line string
	// Ask is the text of the question; it is empty for a line that needs no answer.
	Ask     string
	Default string
	Why     string
	// Optional lines are commented out in the questionnaire.
	Optional bool
}

const noDefault = "none, it must be answered"

// Questions returns the questions in the order of the questionnaire.
func Questions() []Question {
	questions := teamQuestions()
	questions = append(questions, serviceQuestions()...)
	questions = append(questions, limitQuestions()...)
	return append(questions, accountQuestions()...)
}

// Questionnaire returns the YAML document that a new team fills in, with each question, its default and its reason as comments.
func Questionnaire() string {
	var text strings.Builder
	text.WriteString("# Questionnaire of a new team. Replace the examples by your answers; remove the # of a line to set what is optional.\n")
	text.WriteString("# Then: pomeloctl generate --answers FILE [--answers FILE ...] > configuration.yaml\n")
	for _, q := range Questions() {
		q.write(&text)
	}
	return text.String()
}

func (q Question) write(text *strings.Builder) {
	indent := q.Line[:len(q.Line)-len(strings.TrimLeft(q.Line, " "))]
	if q.Ask != "" {
		fmt.Fprintf(text, "\n%s# %s\n%s# Default: %s. Why: %s\n", indent, q.Ask, indent, q.Default, q.Why)
	}
	if q.Optional {
		fmt.Fprintf(text, "%s# %s\n", indent, q.Line[len(indent):])
		return
	}
	text.WriteString(q.Line + "\n")
}

func teamQuestions() []Question {
	return []Question{
		{Line: "Team: my-team", Ask: "What is your team called?", Default: noDefault, Why: "services and accounts belong to a team, and the audit trail names it."},
		{Line: "ShareTotal: 100", Ask: "What do the shares of your accounts add up to? 0 leaves the sum unchecked.", Default: "0", Why: "a forgotten account or a slipped digit changes what everybody is owed; a wrong sum is refused."},
		{Line: "Regions:", Ask: "In which regions and failure domains do your upstreams stand?", Default: noDefault, Why: "work stays near its caller, and links between regions are paid for by volume."},
		{Line: "  - Name: my-region"},
		{Line: "    FailureDomains: [my-region-a]"},
	}
}

func serviceQuestions() []Question {
	return []Question{
		{Line: "Services:", Ask: "Which services do your accounts call?", Default: noDefault, Why: "each is a path of its own, /NAME/..., with its own queues and shares."},
		{Line: "  - Name: my-service"},
		{Line: "    Kind: Plain", Ask: "Is it a ModelEngine (OpenAI-style HTTP) or a Plain service?", Default: noDefault, Why: "a model engine's cost is counted in tokens, a plain service's in slot seconds."},
		{Line: "    MayRepeat: Never", Ask: "May its calls be repeated: Always or Never?", Default: noDefault, Why: "calls that may never be repeated are claimed in the store before they leave; a wrong answer runs paid work twice."},
		{Line: "    KeyOptional: false", Optional: true, Ask: "If Never: may a call come without an Idempotency-Key?", Default: "false", Why: "without a key the caller's own resend cannot be told from a new call, so it runs again."},
		{Line: "    Upstreams:", Ask: "Which servers does it have, by failure domain?", Default: noDefault, Why: "a service without upstreams cannot answer."},
		{Line: "      - FailureDomain: my-region-a"},
		{Line: "        Model: my-model", Optional: true, Ask: "Which model do they serve? For a ModelEngine only.", Default: "none; needed for a ModelEngine", Why: "fairness holds among the requests for one model."},
		{Line: "        MinSlots: 1", Optional: true, Ask: "How many requests may always run on one server?", Default: fmt.Sprint(DefaultMinSlots), Why: "the learnt limit never falls below it."},
		{Line: "        MaxSlots: 32", Optional: true, Ask: "How many may run there at most?", Default: fmt.Sprint(DefaultMaxSlots), Why: "the learnt limit never rises above it."},
		{Line: "        Resumes: true", Optional: true, Ask: "Can a broken stream be taken up again there?", Default: "false", Why: "the caller then notices nothing of a broken link."},
		{Line: "        Servers:"},
		{Line: "          - Address: 10.0.0.1:8000", Ask: "What is each server's IP number and port?", Default: noDefault, Why: "routers reach servers by IP number only."},
		{Line: "            Name: my-server-1", Optional: true, Ask: "What is it called on the host list?", Default: "SERVICE-DOMAIN-NUMBER", Why: "the host list says by name which server leaves."},
		{Line: "    Cost:", Optional: true},
		{Line: "      Input: 0.25", Optional: true, Ask: "What does a token of input cost? For a ModelEngine.", Default: fmt.Sprint(DefaultInputCost), Why: "an engine reads faster than it writes."},
		{Line: "      Output: 1", Optional: true, Ask: "What does a token of output cost? For a ModelEngine.", Default: fmt.Sprint(DefaultOutputCost), Why: "it is the unit of cost."},
		{Line: "      Maximum: 60", Optional: true, Ask: "What does the dearest request cost (weighted tokens, or seconds)?", Default: fmt.Sprintf("%g, for a ModelEngine %g", DefaultPlainMaxCost, DefaultModelMaxCost), Why: "the bound on the fairness gap grows with it."},
		{Line: "    Spill:", Optional: true},
		{Line: "      Domain: 7.5", Optional: true, Ask: "How much more must the others have had here than there before work goes to another failure domain?", Default: fmt.Sprintf("%g of Maximum", spillDomainPerMaxCost), Why: "too little moves work for nothing, too much leaves slots idle next door."},
		{Line: "      Region: 60", Optional: true, Ask: "And before it goes to another region?", Default: fmt.Sprintf("%d times Domain", spillRegionPerDomain), Why: "bytes between regions are paid for."},
		{Line: "      CatchUp: 240", Optional: true, Ask: "How far may an account fall behind and still be owed the difference?", Default: fmt.Sprintf("%d times Maximum", catchUpPerMaxCost), Why: "after a partition one account must not hold up all others for long."},
	}
}

func limitQuestions() []Question {
	return []Question{
		{Line: "    Limits:", Optional: true},
		{Line: "      MaxBody: 4194304", Optional: true, Ask: "How many bytes may a request's body have?", Default: fmt.Sprint(DefaultMaxBody), Why: "bodies wait in the router's memory."},
		{Line: "      MaxWaiting: 256", Optional: true, Ask: "How many requests of one account may wait at one router?", Default: fmt.Sprint(DefaultMaxWaiting), Why: "a flood fills only its own queue."},
		{Line: "      MaxWaitingBytes: 33554432", Optional: true, Ask: "And how many bytes?", Default: fmt.Sprint(DefaultMaxWaitingBytes), Why: "the same, for large bodies."},
		{Line: "      MaxWait: 1m", Optional: true, Ask: "How long may a request wait before it is refused?", Default: DefaultMaxWait.String(), Why: "a caller is better told to come back than kept waiting."},
		{Line: "      Timeout: 1m", Optional: true, Ask: "How long may one attempt run?", Default: DefaultPlainTimeout.String() + ", for a ModelEngine " + DefaultModelTimeout.String(), Why: "a server that hangs must not hold a slot for good."},
		{Line: "      RetryBudget: 0.1", Optional: true, Ask: "Which fraction of the requests may be sent a second time?", Default: fmt.Sprint(DefaultRetryBudget), Why: "retries of everything at once double the load of an overload."},
		{Line: "      Retention: 24h", Optional: true, Ask: "How long are the outcomes of calls that may not be repeated kept?", Default: DefaultRetention.String(), Why: "a resend within that time gets the first outcome; after it, the call is a new one."},
		{Line: "      QuarantineFor: 10m", Optional: true, Ask: "How long is a request that crashes servers refused?", Default: DefaultQuarantine.String(), Why: "its caller sends it again."},
	}
}

func accountQuestions() []Question {
	return []Question{
		{Line: "Accounts:", Ask: "Which client accounts does your team have?", Default: noDefault, Why: "shares, queues and tokens are by account."},
		{Line: "  - Name: my-account"},
		{Line: "    Share: 100", Ask: "Which share of the capacity is it owed, relative to the others?", Default: fmt.Sprint(DefaultShare), Why: "it decides who is served when capacity is short."},
		{Line: "    Shares: {my-service: 50}", Optional: true, Ask: "Does it have another share in some service?", Default: "none", Why: "an account may be large in one service and small in another; naming another team's service lets it call that."},
		{Line: "    TokenHashes: [" + HashToken("example-my-account") + "]", Ask: "What are the hashes of its bearer tokens? Make each with: pomeloctl token", Default: noDefault, Why: "only hashes are kept, so that nobody can read a token out of the configuration. This one is of the token example-my-account: replace it."},
	}
}
