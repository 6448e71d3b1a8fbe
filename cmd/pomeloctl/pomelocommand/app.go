package pomelocommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"

	"github.com/alecthomas/kingpin/v2"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// app holds the standard streams and the global flags of one invocation.
type app struct {
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	output  string
	timeout time.Duration
	store   []string
}

// action runs a subcommand whose flags have been parsed.
type action func(ctx context.Context) error

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	cli, actions := a.commands()
	command, helpRequested, err := parse(cli, args)
	if helpRequested {
		return exitSuccess
	}
	if err != nil {
		return a.fail(pomelorelay.NewError(pomelorelay.CodeBadRequest, err.Error()+"; try pomeloctl --help", nil))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	if err := actions[command](ctx); err != nil {
		return a.fail(err)
	}
	return exitSuccess
}

// helpPrinted is the panic value that ends parsing after the help text, where kingpin would exit the process.
type helpPrinted struct{}

// parse returns the full name of the subcommand, or helpRequested when only the help text was printed.
func parse(cli *kingpin.Application, args []string) (command string, helpRequested bool, err error) {
	cli.Terminate(func(int) { panic(helpPrinted{}) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpPrinted:
			helpRequested = true
		default:
			panic(r)
		}
	}()
	command, err = cli.Parse(args)
	return command, false, err
}

// commands returns the command-line parser and the action of each subcommand by its full name.
func (a *app) commands() (*kingpin.Application, map[string]action) {
	cli := kingpin.New("pomeloctl", "Generates, checks, applies and monitors the configuration of pomelorelay.")
	cli.UsageWriter(a.stderr)
	cli.ErrorWriter(a.stderr)
	cli.HelpFlag.Short('h')
	cli.Flag("output", "Output format.").Default(outputText).EnumVar(&a.output, outputText, outputJSON)
	cli.Flag("timeout", "Time limit of the whole command.").Default("1m").DurationVar(&a.timeout)
	actions := make(map[string]action)
	for _, register := range []func(*kingpin.Application) (*kingpin.CmdClause, action){
		a.questionnaireCommand, a.generateCommand, a.checkCommand, a.diffCommand, a.applyCommand, a.showCommand,
		a.auditCommand, a.statusCommand, a.drainCommand, a.evacuateCommand, a.tokenCommand,
	} {
		clause, run := register(cli)
		actions[clause.FullCommand()] = run
	}
	return cli, actions
}

// storeFlag adds the required flag for the store's addresses.
func (a *app) storeFlag(clause *kingpin.CmdClause) *kingpin.CmdClause {
	clause.Flag("store", "IP:port of the platform's store; may be repeated.").Required().StringsVar(&a.store)
	return clause
}

func (a *app) openStore() (*pomelostore.Client, error) {
	addresses, err := parseAddresses("--store", a.store)
	if err != nil {
		return nil, err
	}
	return pomelostore.New(pomelostore.Config{Addresses: addresses, CallsPerSecond: storeCallsPerSecond})
}

// print writes the text, or the value as JSON, depending on --output.
func (a *app) print(value any, text string) error {
	if a.output == outputText {
		_, err := io.WriteString(a.stdout, text)
		return err
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Code   pomelorelay.ResultCode
	Name   string
	Detail string
	Advice string
}

func (a *app) fail(err error) int {
	info := pomelorelay.CodeOf(err).Info()
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.stderr)
		encoder.SetIndent("", "  ")
		if encodeErr := encoder.Encode(errorReport{Code: info.Code, Name: info.Name, Detail: err.Error(), Advice: info.Advice}); encodeErr == nil {
			return exitCode(info.Code)
		}
	}
	fmt.Fprintf(a.stderr, "pomeloctl: %v\nWhat to do: %s\n", err, info.Advice)
	return exitCode(info.Code)
}
