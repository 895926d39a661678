package srini

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of a section.
type Key struct {
	Section string
	Name    string
	Value   Value
	// Default is the text used when the key is not given.
	Default  string
	Required bool
	// About says in a few words what the key is for.
	About string
}

// Expected says which values the key takes.
func (k Key) Expected() string {
	if k.Value.Bounds() == "" {
		return k.Value.Type()
	}
	return k.Value.Type() + ", " + k.Value.Bounds()
}

func (k Key) setDefault() {
	if k.Default != "" {
		k.Value.Set(k.Default)
	}
}

// Value parses the text of a key into a field.
type Value interface {
	// Set stores the parsed text and reports whether it was valid.
	Set(text string) bool
	// Type names the form of the text.
	Type() string
	// Unit names the unit, "" when there is none.
	Unit() string
	// Bounds names the limits, "" when there are none.
	Bounds() string
}

type intValue struct {
	field  *int
	unit   string
	lo, hi int
}

// Int is a whole number from lo to hi.
func Int(field *int, unit string, lo, hi int) Value {
	return &intValue{field: field, unit: unit, lo: lo, hi: hi}
}

func (v *intValue) Set(text string) bool {
	n, err := strconv.Atoi(text)
	if err != nil || n < v.lo || n > v.hi {
		return false
	}
	*v.field = n
	return true
}

func (v *intValue) Type() string   { return "whole number" }
func (v *intValue) Unit() string   { return v.unit }
func (v *intValue) Bounds() string { return fmt.Sprintf("%d to %d", v.lo, v.hi) }

type uintValue struct {
	field *uint64
	lo    uint64
}

// Uint is a whole number of at least lo.
func Uint(field *uint64, lo uint64) Value { return &uintValue{field: field, lo: lo} }

func (v *uintValue) Set(text string) bool {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n < v.lo {
		return false
	}
	*v.field = n
	return true
}

func (v *uintValue) Type() string   { return "whole number" }
func (v *uintValue) Unit() string   { return "" }
func (v *uintValue) Bounds() string { return fmt.Sprintf("%d or more", v.lo) }

type floatValue struct {
	field  *float64
	unit   string
	lo, hi float64
}

// Float is a decimal number from lo to hi.
func Float(field *float64, unit string, lo, hi float64) Value {
	return &floatValue{field: field, unit: unit, lo: lo, hi: hi}
}

func (v *floatValue) Set(text string) bool {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < v.lo || n > v.hi {
		return false
	}
	*v.field = n
	return true
}

func (v *floatValue) Type() string { return "number" }
func (v *floatValue) Unit() string { return v.unit }

func (v *floatValue) Bounds() string {
	return decimal(v.lo) + " to " + decimal(v.hi)
}

func decimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

type durationValue struct {
	field  *time.Duration
	lo, hi time.Duration
}

// Duration is a time span such as 250ms from lo to hi.
func Duration(field *time.Duration, lo, hi time.Duration) Value {
	return &durationValue{field: field, lo: lo, hi: hi}
}

func (v *durationValue) Set(text string) bool {
	d, err := time.ParseDuration(text)
	if err != nil || d < v.lo || d > v.hi {
		return false
	}
	*v.field = d
	return true
}

func (v *durationValue) Type() string   { return "duration" }
func (v *durationValue) Unit() string   { return "ms, s, m or h" }
func (v *durationValue) Bounds() string { return fmt.Sprintf("%v to %v", v.lo, v.hi) }

type boolValue struct{ field *bool }

// Bool is yes or no.
func Bool(field *bool) Value { return &boolValue{field: field} }

func (v *boolValue) Set(text string) bool {
	*v.field = text == "yes"
	return text == "yes" || text == "no"
}

func (v *boolValue) Type() string   { return "yes or no" }
func (v *boolValue) Unit() string   { return "" }
func (v *boolValue) Bounds() string { return "" }

type choiceValue struct {
	field   *string
	choices []string
}

// Choice is one of several words.
func Choice(field *string, choices ...string) Value {
	return &choiceValue{field: field, choices: choices}
}

func (v *choiceValue) Set(text string) bool {
	*v.field = text
	return slices.Contains(v.choices, text)
}

func (v *choiceValue) Type() string   { return "word" }
func (v *choiceValue) Unit() string   { return "" }
func (v *choiceValue) Bounds() string { return "one of " + strings.Join(v.choices, ", ") }

// textValue is a text of a given form, or a list of such texts.
type textValue struct {
	field  *string
	list   *[]string
	form   string
	bounds string
	most   int
	ok     func(string) bool
}

// MaxWord is the longest word in bytes.
const MaxWord = 64

var wordForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// IsWord reports whether text can be a name.
func IsWord(text string) bool { return len(text) <= MaxWord && wordForm.MatchString(text) }

// WordRule says what a name may consist of.
var WordRule = fmt.Sprintf("at most %d letters, digits, '.', '_' or '-'", MaxWord)

// Word is a name.
func Word(field *string) Value {
	return &textValue{field: field, form: "name", bounds: WordRule, ok: IsWord}
}

// Words is a list of at most most distinct names, separated by commas.
func Words(field *[]string, most int) Value {
	return &textValue{list: field, form: "names separated by commas", most: most, ok: IsWord}
}

// IsAddress reports whether text is IP:port of one host.
func IsAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() &&
		a.String() == text
}

func isListenAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == "" && a.String() == text
}

// Address is the IP number and the port of one host.
func Address(field *string) Value {
	return &textValue{field: field, form: "IP number and port of one host", bounds: "port 1 to 65535", ok: IsAddress}
}

// ListenAddress is an IP number and a port; 0.0.0.0 stands for all of this host.
func ListenAddress(field *string) Value {
	return &textValue{field: field, form: "IP number and port", bounds: "port 1 to 65535", ok: isListenAddress}
}

// Addresses is a list of at most most distinct addresses, separated by commas.
func Addresses(field *[]string, most int) Value {
	return &textValue{list: field, form: "IP numbers and ports separated by commas", most: most, ok: IsAddress}
}

var digestForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Digest is a SHA-256 hash in small hexadecimal digits.
func Digest(field *string) Value {
	return &textValue{field: field, form: "SHA-256 hash", bounds: "64 small hexadecimal digits", ok: digestForm.MatchString}
}

// Digests is a list of at most most distinct hashes, separated by commas.
func Digests(field *[]string, most int) Value {
	return &textValue{list: field, form: "SHA-256 hashes in small hexadecimal digits, separated by commas", most: most, ok: digestForm.MatchString}
}

func (v *textValue) Set(text string) bool {
	if v.list != nil {
		return v.setList(text)
	}
	*v.field = text
	return v.ok(text)
}

func (v *textValue) setList(text string) bool {
	var list []string
	for word := range strings.SplitSeq(text, ",") {
		word = strings.TrimSpace(word)
		if !v.ok(word) || slices.Contains(list, word) || len(list) == v.most {
			return false
		}
		list = append(list, word)
	}
	*v.list = list
	return true
}

func (v *textValue) Type() string { return v.form }
func (v *textValue) Unit() string { return "" }

func (v *textValue) Bounds() string {
	if v.list != nil {
		return fmt.Sprintf("at most %d, each once", v.most)
	}
	return v.bounds
}
