package pomeloconfig

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxDocumentBytes bounds a YAML document.
const MaxDocumentBytes = pomelorelay.Bytes(64 << 20)

// document remembers a YAML document so that problems can be given their lines.
type document struct {
	file string
	data []byte
}

// readDocument decodes YAML strictly; its errors name file and line.
func readDocument(file string, data []byte, into any) (document, error) {
	doc := document{file: file, data: data}
	if pomelorelay.Bytes(len(data)) > MaxDocumentBytes {
		return doc, pomelorelay.NewError(pomelorelay.CodeConfigTooLarge, file+": it has "+strconv.Itoa(len(data))+" bytes", nil)
	}
	if err := decodeStrictly(data, into); err != nil {
		return doc, yamlError(file, err)
	}
	return doc, nil
}

// decodeStrictly turns a panic of the YAML library into an error: a document that trips it would else end the program, and
// an operator would see a stack trace in place of the file's name.
func decodeStrictly(data []byte, into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the YAML cannot be decoded: %v", r)
		}
	}()
	values := valueReader{data: data}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(),
		yaml.CustomUnmarshaler(values.readAddress), yaml.CustomUnmarshaler(values.readDuration))
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if values.failure != nil {
		return values.failure
	}
	var rest any
	if err := decoder.Decode(&rest); !errors.Is(err, io.EOF) {
		return errors.New("it holds more than one document; keep one")
	}
	return nil
}

func yamlError(file string, err error) error {
	code := pomelorelay.CodeConfigSyntax
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		code = pomelorelay.CodeConfigUnknownField
	}
	place, text := file, err.Error()
	var value *valueError
	if errors.As(err, &value) {
		place += ":" + strconv.Itoa(value.line)
	}
	var located yaml.Error
	if errors.As(err, &located) {
		text = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			place += ":" + strconv.Itoa(t.Position.Line)
		}
	}
	return pomelorelay.NewError(code, place+": "+text, nil)
}

// locate gives the problems the document's name and the lines of their entries; an entry that is missing gets its parent's line.
func (d document) locate(problems []Problem) []Problem {
	if len(problems) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(d.data, 0)
	for i := range problems {
		problems[i].File = d.file
		if err == nil && i < maxProblemsShown {
			problems[i].Line = lineOf(file, problems[i].Path)
		}
	}
	return problems
}

func lineOf(file *ast.File, path string) int {
	for path != "" {
		if line := nodeLine(file, path); line > 0 {
			return line
		}
		path = parentPath(path)
	}
	return 0
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func nodeLine(file *ast.File, path string) int {
	query, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	node, err := query.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
