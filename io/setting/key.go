package setting

import (
	"fmt"
	"reflect"
	"strings"

	"galenaridge/io/strictyaml"
)

// variablePrefix is the prefix of all environment variables of the program.
const variablePrefix = "GALENARIDGE_"

// fileVariable is the environment variable that holds the path of the settings
// file, unless a flag does.
const fileVariable = variablePrefix + "SETTINGS"

// key describes one setting.
type key struct {
	// path is the path of the key in a file, such as "listen.caller".
	path  string
	usage string
}

// keys lists all settings in the order of the example file.
var keys = []key{
	{"id", "name of this instance, unique in the fleet and kept over restarts"},
	{"domain", "failure domain of this instance"},
	{"listen.caller", "IP:port on which callers are served"},
	{"listen.peer", "IP:port on which other instances are served"},
	{"listen.operator", "IP:port of metrics and state"},
	{"listen.expose", "allow listen.operator outside loopback"},
	{"advertise.caller", "IP:port advertised to callers; empty for the one listened on"},
	{"advertise.peer", "IP:port advertised to other instances; empty for the one listened on"},
	{"platform", "URLs of the platform, tried in order"},
	{"seeds", "IP:port of peers that a new instance contacts first"},
	{"log", "least severe level that is logged"},
	{"drain", "wait of a planned stop; 0s for the assignment lifetime of the configuration"},
	{"via", "addresses to dial in place of others"},
	{"limits.records", "largest number of at-most-once records"},
	{"limits.stored", "largest stored response body in bytes"},
	{"limits.memory", "largest sum of stored response bodies in bytes"},
}

// variableName returns the name of the key's environment variable.
func (k key) variableName() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(k.path, ".", "_"))
}

// flagName returns the name of the key's flag.
func (k key) flagName() string { return strings.ReplaceAll(k.path, ".", "-") }

// field returns the field of settings that the key sets.
func (k key) field(s *Settings) reflect.Value {
	value := reflect.ValueOf(s).Elem()
	for name := range strings.SplitSeq(k.path, ".") {
		value = value.FieldByNameFunc(func(field string) bool { return strings.EqualFold(field, name) })
	}
	return value
}

// Flag is a command-line flag that overrides a setting. Lists are separated
// by commas, and entries of via have the form IP:port=IP:port.
type Flag struct {
	Name  string
	Usage string
}

// Flags lists one flag for each setting.
func Flags() []Flag {
	defaults := Defaults()
	flags := make([]Flag, len(keys))
	for i, k := range keys {
		flags[i] = Flag{Name: k.flagName(), Usage: k.usage}
		if value := k.field(&defaults); !value.IsZero() {
			flags[i].Usage += fmt.Sprintf(" (default %v)", value.Interface())
		}
	}
	return flags
}

// setField parses the text of a variable or flag into a field. It returns a
// description of the expected text if parsing fails, otherwise an empty string.
func setField(field reflect.Value, text string) (expected string) {
	switch field.Kind() {
	case reflect.Slice:
		return setSlice(field, text)
	case reflect.Map:
		return setMap(field, text)
	default:
		return strictyaml.SetScalar(field, text)
	}
}

func setSlice(field reflect.Value, text string) (expected string) {
	list := reflect.MakeSlice(field.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		value := reflect.New(field.Type().Elem()).Elem()
		if expected := strictyaml.SetScalar(value, strings.TrimSpace(part)); expected != "" {
			return expected
		}
		list = reflect.Append(list, value)
	}
	field.Set(list)
	return ""
}

func setMap(field reflect.Value, text string) (expected string) {
	t := field.Type()
	entries := reflect.MakeMap(t)
	for part := range strings.SplitSeq(text, ",") {
		from, to, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return "entries of the form IP:port=IP:port, separated by commas"
		}
		entries.SetMapIndex(reflect.ValueOf(from).Convert(t.Key()), reflect.ValueOf(to).Convert(t.Elem()))
	}
	field.Set(entries)
	return ""
}
