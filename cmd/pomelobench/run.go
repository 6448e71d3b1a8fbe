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
	planPath     string
	duration     time.Duration
	direct       bool
	randomFaults bool
	seed         uint64
	readyTimeout time.Duration
	marksPath    string
	recordPath   string
}

func newRunCommand(cmd *kingpin.CmdClause) *runCommand {
	c := &runCommand{}
	cmd.Flag("plan", "The YAML file that says what load goes where.").Required().StringVar(&c.planPath)
	cmd.Flag("duration", "How long load is put on; the plan's when not given.").DurationVar(&c.duration)
	cmd.Flag("direct", "Send to the stand-ins themselves, without routers and steps, for a baseline.").BoolVar(&c.direct)
	cmd.Flag("random-faults", "Draw faults of the stand-ins from the seed, in place of the plan's steps.").BoolVar(&c.randomFaults)
	cmd.Flag("seed", "The seed of everything that is drawn; the plan's when not given.").Uint64Var(&c.seed)
	cmd.Flag("wait-ready", "How long to wait until every router is ready.").DurationVar(&c.readyTimeout)
	cmd.Flag("marks", "A file to which a script appends what it does itself, such as ending a router.").StringVar(&c.marksPath)
	cmd.Flag("record", "A file for the run's record, as JSON lines.").StringVar(&c.recordPath)
	return c
}

func (c *runCommand) run(ctx context.Context) error {
	plan, err := pomeloload.LoadPlan(c.planPath)
	if err != nil {
		return err
	}
	if plan, err = c.applyFlags(plan); err != nil {
		return err
	}
	report, err := pomeloload.Run(ctx, plan, pomeloload.Options{ReadyTimeout: c.readyTimeout, MarksPath: c.marksPath, Logf: printProgress})
	if err != nil {
		return err
	}
	if c.recordPath != "" {
		if err := pomeloload.WriteRecord(c.recordPath, report); err != nil {
			return err
		}
	}
	printFindings(report)
	line, err := json.Marshal(report.Result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if failures := report.Result.Failures(); len(failures) > 0 {
		return pomelorelay.NewError(pomelorelay.CodeBenchViolated, strings.Join(failures, ", "), nil)
	}
	return nil
}

// applyFlags changes the plan as the flags say.
func (c *runCommand) applyFlags(plan pomeloload.Plan) (pomeloload.Plan, error) {
	if c.duration > 0 {
		plan.Duration = c.duration
	}
	if c.seed > 0 {
		plan.Seed = c.seed
	}
	if c.direct {
		plan = plan.WithoutRouters()
	}
	if !c.randomFaults {
		return plan, nil
	}
	steps, err := pomeloload.RandomSteps(plan)
	printProgress("Faults drawn from seed %d: %d", plan.Seed, len(steps)/2)
	plan.Steps = steps
	return plan, err
}

func printProgress(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// printFindings prints what a reader needs to look into a run: the first violations and the commonest bad ends.
func printFindings(report pomeloload.Report) {
	for i, v := range report.Violations {
		if i == maxPrinted {
			fmt.Fprintf(os.Stderr, "and %d violations more\n", len(report.Violations)-maxPrinted)
			break
		}
		fmt.Fprintln(os.Stderr, v)
	}
	var texts []string
	for text := range report.FailureCounts {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int { return report.FailureCounts[b] - report.FailureCounts[a] })
	for _, text := range texts[:min(len(texts), maxPrinted)] {
		fmt.Fprintf(os.Stderr, "%6d times: %s\n", report.FailureCounts[text], text)
	}
}
