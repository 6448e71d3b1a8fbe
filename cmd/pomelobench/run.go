package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"

	"github.com/alecthomas/kingpin/v2"
)

// maxPrinted bounds the violations and examples that are printed.
const maxPrinted = 20

// runCommand runs a plan's load.
type runCommand struct {
	plan     string
	duration time.Duration
	direct   bool
	random   bool
	seed     uint64
	ready    time.Duration
	marks    string
	record   string
}

func newRunCommand(cmd *kingpin.CmdClause) *runCommand {
	c := &runCommand{}
	cmd.Flag("plan", "The YAML file that says what load goes where.").Required().StringVar(&c.plan)
	cmd.Flag("duration", "How long load is put on; the plan's when not given.").DurationVar(&c.duration)
	cmd.Flag("direct", "Send to the stand-ins themselves, without routers and steps, for a baseline.").BoolVar(&c.direct)
	cmd.Flag("random-faults", "Draw faults of the stand-ins from the seed, in place of the plan's steps.").BoolVar(&c.random)
	cmd.Flag("seed", "The seed of everything that is drawn; the plan's when not given.").Uint64Var(&c.seed)
	cmd.Flag("wait-ready", "How long to wait until every router is ready.").DurationVar(&c.ready)
	cmd.Flag("marks", "A file to which a script appends what it does itself, such as ending a router.").StringVar(&c.marks)
	cmd.Flag("record", "A file for the run's record, as JSON lines.").StringVar(&c.record)
	return c
}

func (c *runCommand) run(ctx context.Context) error {
	plan, err := pomeloload.LoadPlan(c.plan)
	if err != nil {
		return err
	}
	if plan, err = c.adapt(plan); err != nil {
		return err
	}
	judgement, err := pomeloload.Run(ctx, plan, pomeloload.Options{ReadyWithin: c.ready, Marks: c.marks, Logf: progress})
	if err != nil {
		return err
	}
	if c.record != "" {
		if err := pomeloload.WriteRecord(c.record, judgement); err != nil {
			return err
		}
	}
	printFindings(judgement)
	line, err := json.Marshal(judgement.Result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if failures := judgement.Result.Failures(); len(failures) > 0 {
		return pomelorelay.NewError(pomelorelay.CodeBenchViolated, strings.Join(failures, ", "), nil)
	}
	return nil
}

// adapt changes the plan as the flags say.
func (c *runCommand) adapt(plan pomeloload.Plan) (pomeloload.Plan, error) {
	if c.duration > 0 {
		plan.Duration = c.duration
	}
	if c.seed > 0 {
		plan.Seed = c.seed
	}
	if c.direct {
		plan = plan.ForDirect()
	}
	if !c.random {
		return plan, nil
	}
	steps, err := pomeloload.RandomSteps(plan)
	progress("Faults drawn from seed %d: %d", plan.Seed, len(steps)/2)
	plan.Steps = steps
	return plan, err
}

func progress(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// printFindings prints what a reader needs to look into a run: the first violations and the commonest bad ends.
func printFindings(j pomeloload.Judgement) {
	for i, v := range j.Violations {
		if i == maxPrinted {
			fmt.Fprintf(os.Stderr, "and %d violations more\n", len(j.Violations)-maxPrinted)
			break
		}
		fmt.Fprintln(os.Stderr, v)
	}
	var texts []string
	for text := range j.Examples {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int { return j.Examples[b] - j.Examples[a] })
	for _, text := range texts[:min(len(texts), maxPrinted)] {
		fmt.Fprintf(os.Stderr, "%6d times: %s\n", j.Examples[text], text)
	}
}
