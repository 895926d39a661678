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
	// Description is a short description of the key.
	Description string
}

// Expected describes the valid values of the key.
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

// Value parses the text of a key and stores the value in a field.
type Value interface {
	// Set stores the parsed text and reports whether it was valid.
	Set(text string) bool
	// Type describes the form of the text.
	Type() string
	// Unit returns the unit, "" when there is none.
	Unit() string
	// Bounds describes the limits, "" when there are none.
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

// textValue is a text of a given form, stored in field, or a list of such texts,
// stored in list.
type textValue struct {
	field  *string
	list   *[]string
	form   string
	bounds string
	// maxCount is the maximum length of the list.
	maxCount int
	valid    func(string) bool
}

// MaxWord is the maximum length of a word in bytes.
const MaxWord = 64

var wordForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// IsWord reports whether text can be a name.
func IsWord(text string) bool { return len(text) <= MaxWord && wordForm.MatchString(text) }

// WordRule describes a valid name.
var WordRule = fmt.Sprintf("at most %d letters, digits, '.', '_' or '-'", MaxWord)

// Word is a name.
func Word(field *string) Value {
	return &textValue{field: field, form: "name", bounds: WordRule, valid: IsWord}
}

// Words is a list of at most maxCount distinct names, separated by commas.
func Words(field *[]string, maxCount int) Value {
	return &textValue{list: field, form: "names separated by commas", maxCount: maxCount, valid: IsWord}
}

// IsAddress reports whether text is IP:port in canonical form, with the IP address of
// one host.
func IsAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() &&
		a.String() == text
}

// isListenAddress is like IsAddress, but allows the unspecified IP address too.
func isListenAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == "" && a.String() == text
}

// Address is the IP address and the port of one host.
func Address(field *string) Value {
	return &textValue{field: field, form: "IP address and port of one host", bounds: "port 1 to 65535", valid: IsAddress}
}

// ListenAddress is an IP address and a port; 0.0.0.0 stands for all addresses of this
// host.
func ListenAddress(field *string) Value {
	return &textValue{field: field, form: "IP address and port", bounds: "port 1 to 65535", valid: isListenAddress}
}

// Addresses is a list of at most maxCount distinct addresses, separated by commas.
func Addresses(field *[]string, maxCount int) Value {
	return &textValue{list: field, form: "IP addresses and ports separated by commas", maxCount: maxCount, valid: IsAddress}
}

var digestForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Digest is a SHA-256 hash in lowercase hexadecimal digits.
func Digest(field *string) Value {
	return &textValue{field: field, form: "SHA-256 hash", bounds: "64 lowercase hexadecimal digits", valid: digestForm.MatchString}
}

// Digests is a list of at most maxCount distinct hashes, separated by commas.
func Digests(field *[]string, maxCount int) Value {
	return &textValue{list: field, form: "SHA-256 hashes in lowercase hexadecimal digits, separated by commas", maxCount: maxCount, valid: digestForm.MatchString}
}

func (v *textValue) Set(text string) bool {
	if v.list != nil {
		return v.setList(text)
	}
	*v.field = text
	return v.valid(text)
}

func (v *textValue) setList(text string) bool {
	var list []string
	for word := range strings.SplitSeq(text, ",") {
		word = strings.TrimSpace(word)
		if !v.valid(word) || slices.Contains(list, word) || len(list) == v.maxCount {
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
		return fmt.Sprintf("at most %d, without duplicates", v.maxCount)
	}
	return v.bounds
}
