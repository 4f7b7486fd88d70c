// Package loader reads and validates settings and declarations, which are JSON with comments.
package loader

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// ErrInvalid is wrapped by the errors for files that fail validation.
var ErrInvalid = errors.New("invalid settings")

// FieldError reports an invalid field and its position in a file.
type FieldError struct {
	File string
	Line int
	// Field is the path of the field, or a word such as "syntax" if the error does not concern a single field.
	Field string
	// Message describes the error and, where possible, the allowed values.
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Load reads settings from a file. Fields that the file does not set keep their defaults.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// readFile reads a file. Its errors wrap ErrInvalid.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return data, nil
}

// Parse reads settings from data. Fields that data does not set keep their defaults. Errors contain fileName.
func Parse(fileName string, data []byte) (Settings, error) {
	cfg := Default()
	if err := decode(fileName, data, &cfg); err != nil {
		return Settings{}, err
	}
	if err := validate(fileName, data, &cfg); err != nil {
		return Settings{}, err
	}
	return cfg, nil
}

// decode parses JSON with comments into v and rejects unknown fields.
func decode(fileName string, data []byte, v any) error {
	ast, err := hujson.Parse(data)
	if err != nil {
		return &FieldError{File: fileName, Line: lineOfSyntaxError(err), Field: "syntax", Message: err.Error()}
	}
	if fieldErr := findUnknownField(ast, reflect.TypeOf(v), ""); fieldErr != nil {
		fieldErr.File = fileName
		fieldErr.Line = lineAt(data, fieldErr.Line)
		return fieldErr
	}
	ast.Standardize()
	std := ast.Pack()
	if err := json.Unmarshal(std, v); err != nil {
		return typeError(fileName, data, std, err)
	}
	return nil
}

// typeError converts an error of json.Unmarshal into a FieldError.
func typeError(fileName string, data, std []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		allowed := fmt.Sprintf("%s, allowed: %s", typeErr.Value, typeErr.Type)
		field := cmp.Or(typeErr.Field, "top level")
		return &FieldError{File: fileName, Line: lineAt(std, int(typeErr.Offset)), Field: field, Message: allowed}
	}
	return &FieldError{File: fileName, Line: lineOfQuotedText(data, err), Field: "value", Message: err.Error()}
}

// lineOfQuotedText returns the line that contains the first text quoted in an error message, or 1.
func lineOfQuotedText(data []byte, err error) int {
	parts := strings.Split(err.Error(), `"`)
	if len(parts) < 2 {
		return 1
	}
	i := bytes.Index(data, []byte(`"`+parts[1]+`"`))
	return lineAt(data, max(i, 0))
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// lineOfSyntaxError returns the line number that a syntax error mentions, or 1.
func lineOfSyntaxError(err error) int {
	m := linePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n := 1
	_, _ = fmt.Sscanf(m[1], "%d", &n)
	return n
}

// lineAt returns the line number at a byte offset.
func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}

// findUnknownField returns an error for the first object member that the Go type lacks, or nil. The Line field of the
// error holds a byte offset, which decode converts to a line number.
func findUnknownField(v hujson.Value, t reflect.Type, path string) *FieldError {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		return findUnknownMember(node, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice || t == rawMessageType {
			return nil
		}
		for _, e := range node.Elements {
			if fieldErr := findUnknownField(e, t.Elem(), path); fieldErr != nil {
				return fieldErr
			}
		}
	}
	return nil
}

var rawMessageType = reflect.TypeFor[json.RawMessage]()

func findUnknownMember(node *hujson.Object, t reflect.Type, path string) *FieldError {
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldsOf(t)
	for _, m := range node.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		ft, ok := fields[name]
		if !ok {
			return &FieldError{Line: m.Name.StartOffset, Field: cmp.Or(path+name, `""`), Message: "unknown field, allowed: " + fieldNames(t)}
		}
		if fieldErr := findUnknownField(m.Value, ft, path+name+"."); fieldErr != nil {
			return fieldErr
		}
	}
	return nil
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		fields[jsonName(f)] = f.Type
	}
	return fields
}

func fieldNames(t reflect.Type) string {
	var list []string
	for i := range t.NumField() {
		list = append(list, jsonName(t.Field(i)))
	}
	return strings.Join(list, ", ")
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

var kebabPattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// allowedValues describes the values that the validator tags allow, for error messages.
var allowedValues = map[string]string{
	"kebab":    "kebab-case name",
	"address":  "IP number and port, such as 127.0.0.1:7400",
	"loopback": "loopback IP number and port, such as 127.0.0.1:7401",
	"url":      "URL, such as http://127.0.0.1:7500",
	"file":     "path of a file that exists",
	"required": "must be set",
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	rules := map[string]validator.Func{
		"kebab":    func(fl validator.FieldLevel) bool { return kebabPattern.MatchString(fl.Field().String()) },
		"address":  func(fl validator.FieldLevel) bool { return addressIP(fl.Field().String()) != nil },
		"loopback": isLoopback,
		"span":     isInSpan,
	}
	for tag, fn := range rules {
		if err := v.RegisterValidation(tag, fn); err != nil {
			panic(err)
		}
	}
	return v
}

// addressIP returns the IP of an "IP:port" address, or nil if it is malformed.
func addressIP(addr string) net.IP {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return nil
	}
	return net.ParseIP(host)
}

func isLoopback(fl validator.FieldLevel) bool {
	ip := addressIP(fl.Field().String())
	return ip != nil && ip.IsLoopback()
}

// isInSpan validates a Duration against the tag parameter "MIN MAX".
func isInSpan(fl validator.FieldLevel) bool {
	minText, maxText, _ := strings.Cut(fl.Param(), " ")
	d, ok := fl.Field().Interface().(Duration)
	if !ok {
		return false
	}
	minimum, err1 := time.ParseDuration(minText)
	maximum, err2 := time.ParseDuration(maxText)
	return err1 == nil && err2 == nil && d.Duration >= minimum && d.Duration <= maximum
}

func validate(fileName string, data []byte, cfg *Settings) error {
	if err := newValidator().Struct(cfg); err != nil {
		var fieldErrs validator.ValidationErrors
		if errors.As(err, &fieldErrs) {
			return validationError(fileName, data, fieldErrs[0])
		}
		return fmt.Errorf("validate settings: %w", err)
	}
	return checkCredentials(fileName, data, cfg)
}

func validationError(fileName string, data []byte, f validator.FieldError) error {
	_, field, _ := strings.Cut(f.Namespace(), ".")
	allowed, ok := allowedValues[f.Tag()]
	if !ok {
		allowed = f.Tag() + " " + f.Param()
	}
	text := fmt.Sprintf("%v, allowed: %s", f.Value(), allowed)
	return &FieldError{File: fileName, Line: lineOfField(data, field), Field: field, Message: text}
}

// lineOfField returns the line of a field, given its path such as a.b.c or a[0], or 1 if the data does not contain the field.
func lineOfField(data []byte, field string) int {
	ast, err := hujson.Parse(data)
	if err != nil {
		return 1
	}
	pointer := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	v := ast.Find(pointer)
	if v == nil {
		return 1
	}
	return lineAt(data, v.StartOffset)
}

// checkCredentials requires a credential for each interface that listens on a non-loopback address.
func checkCredentials(fileName string, data []byte, cfg *Settings) error {
	isExposed := func(addr string) bool { return !addressIP(addr).IsLoopback() }
	if isExposed(cfg.PeerListen) && cfg.FleetToken == "" {
		return &FieldError{
			File: fileName, Line: lineOfField(data, "peer-listen"), Field: "fleet-token",
			Message: "must be set where peer-listen is not a loopback address",
		}
	}
	if isExposed(cfg.OperatorListen) && cfg.OperatorToken == "" {
		return &FieldError{
			File: fileName, Line: lineOfField(data, "operator-listen"), Field: "operator-token",
			Message: "must be set where operator-listen is not a loopback address",
		}
	}
	return nil
}

// DecodeFile reads a file of JSON with comments into v and rejects unknown fields.
func DecodeFile(path string, v any) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	return decode(path, data, v)
}
