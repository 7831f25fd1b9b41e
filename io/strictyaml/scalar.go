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
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isText reports whether values of a type are read from one text by the type
// itself.
func isText(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textType) }

// SetScalar sets a scalar from its text, as written in a file, an environment
// variable or a flag. If the text does not fit, it returns what was expected
// and leaves the target as it is; otherwise it returns "".
func SetScalar(target reflect.Value, text string) (expected string) {
	t := target.Type()
	switch {
	case isText(t):
		value := reflect.New(t)
		if err := value.Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
			return choices(t)
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
		// YAML reads a leading zero as octal.
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

// choices lists the names of an enum that enumer generated. Its values count
// from zero, and one without a name formats as Type(n).
func choices(t reflect.Type) string {
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
