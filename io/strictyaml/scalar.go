package strictyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isTextUnmarshaler reports whether a type parses its values from text itself.
func isTextUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textUnmarshalerType)
}

// SetScalar parses the text of a scalar, as written in a file, an environment
// variable or a flag, into target. If parsing fails, it leaves target unchanged
// and returns a description of the expected text; otherwise it returns an empty
// string.
func SetScalar(target reflect.Value, text string) (expected string) {
	t := target.Type()
	switch {
	case isTextUnmarshaler(t):
		value := reflect.New(t)
		if err := value.Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
			return enumNames(t)
		}
		target.Set(value.Elem())
	case t == durationType:
		d, err := time.ParseDuration(text)
		if err != nil {
			return `a duration with a unit, such as "2s"`
		}
		target.SetInt(int64(d))
	default:
		return setBasic(target, text)
	}
	return ""
}

func setBasic(target reflect.Value, text string) (expected string) {
	switch {
	case target.Kind() == reflect.String:
		target.SetString(text)
	case target.Kind() == reflect.Bool:
		if text != "true" && text != "false" {
			return "true or false"
		}
		target.SetBool(text == "true")
	case target.CanInt():
		n, err := strconv.ParseInt(text, 10, target.Type().Bits())
		// Rejects leading zeros, since YAML reads such numbers as octal.
		if err != nil || strconv.FormatInt(n, 10) != text {
			return "a whole number"
		}
		target.SetInt(n)
	case target.CanUint():
		n, err := strconv.ParseUint(text, 10, target.Type().Bits())
		if err != nil || strconv.FormatUint(n, 10) != text {
			return "a whole number, 0 or more"
		}
		target.SetUint(n)
	default:
		return "a value that fits " + target.Type().String()
	}
	return ""
}

// enumNames lists the names of the values of an enum that enumer generated. The
// values count from zero, and a value without a name is formatted as Type(n).
func enumNames(t reflect.Type) string {
	var names []string
	value := reflect.New(t).Elem()
	for n := uint64(0); value.CanUint() && n < 256; n++ {
		value.SetUint(n)
		name := fmt.Sprint(value.Interface())
		if strings.HasSuffix(name, ")") {
			break
		}
		names = append(names, name)
	}
	return strings.Join(names, " or ")
}
