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

// maxPrinted is the maximum number of printed violations, and also of printed failures.
const maxPrinted = 20

// runCommand generates the load of a plan.
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
	cmd.Flag("plan", "The YAML file with the load plan.").Required().StringVar(&c.planPath)
	cmd.Flag("duration", "Duration of the load; overrides the plan's.").DurationVar(&c.duration)
	cmd.Flag("direct", "Send directly to the stand-ins, without routers and steps, as a baseline.").BoolVar(&c.direct)
	cmd.Flag("random-faults", "Inject random faults drawn from the seed, in place of the plan's steps.").BoolVar(&c.randomFaults)
	cmd.Flag("seed", "The random seed; overrides the plan's.").Uint64Var(&c.seed)
	cmd.Flag("wait-ready", "Time limit for all routers to be ready before the load starts.").DurationVar(&c.readyTimeout)
	cmd.Flag("marks", "A file to which a script appends its own actions, such as killing a router.").StringVar(&c.marksPath)
	cmd.Flag("record", "The file to write the run's record to, as JSON lines.").StringVar(&c.recordPath)
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

// applyFlags returns the plan with the overrides given by flags.
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
	printProgress("Random faults from seed %d: %d", plan.Seed, len(steps)/2)
	plan.Steps = steps
	return plan, err
}

func printProgress(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// printFindings prints the first violations and the most frequent failures of attempts to standard error.
func printFindings(report pomeloload.Report) {
	for i, v := range report.Violations {
		if i == maxPrinted {
			fmt.Fprintf(os.Stderr, "and %d more violations\n", len(report.Violations)-maxPrinted)
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
