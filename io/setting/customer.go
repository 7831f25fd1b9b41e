package setting

import (
	"fmt"
	"os"
	"strings"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
	"galenaridge/core/problem"
	"galenaridge/io/strictyaml"
)

// Customer is a customer of a process with its own interface.
type Customer struct {
	Name fleet.Customer `yaml:"name"`
	// Keys say where its keys are. Several are valid at the same time.
	Keys []KeySource `yaml:"keys"`
}

// KeySource is where a key is: in a file or in an environment variable. The settings never
// hold a key itself.
type KeySource struct {
	File     string `yaml:"file"`
	Variable string `yaml:"variable"`
}

// customersPath is the path of the customers in a settings file.
const customersPath = "customers"

// maxKeyFileBytes is the size of the largest file with a key.
const maxKeyFileBytes = 4096

func checkCustomers(c *problem.Checker, customers []Customer) {
	for i, entry := range customers {
		path := problem.IndexedPath(customersPath, i)
		c.CheckName(path+".name", string(entry.Name))
		c.Require(len(entry.Keys) > 0, path+".keys", "", "at least one key")
		for j, source := range entry.Keys {
			c.Require((source.File == "") != (source.Variable == ""), problem.IndexedPath(path+".keys", j), "", "either file or variable")
		}
	}
	problem.CheckUnique(c, customersPath, ".name", len(customers), func(i int) fleet.Customer { return customers[i].Name })
}

// ReadCustomers reads the keys of the customers. It returns nil only if there is no list. Environ
// has the form of os.Environ. No error contains a key.
func ReadCustomers(customers []Customer, environ []string) ([]customer.Customer, error) {
	if customers == nil {
		return nil, nil
	}
	read := make([]customer.Customer, 0, len(customers))
	for _, entry := range customers {
		withKeys := customer.Customer{Name: entry.Name}
		for _, source := range entry.Keys {
			key, err := source.read(environ)
			if err != nil {
				return nil, fmt.Errorf("key of customer %q: %w", entry.Name, err)
			}
			withKeys.Keys = append(withKeys.Keys, customer.HashKey(key))
		}
		read = append(read, withKeys)
	}
	return read, customer.Validate(read)
}

// read returns the key without the spaces and line breaks around it.
func (s KeySource) read(environ []string) (string, error) {
	text := ""
	if s.File != "" {
		info, err := os.Stat(s.File)
		if err != nil {
			return "", err
		}
		if !info.Mode().IsRegular() || info.Size() > maxKeyFileBytes {
			return "", fmt.Errorf("%s is not a file of at most %d bytes", s.File, maxKeyFileBytes)
		}
		data, err := os.ReadFile(s.File)
		if err != nil {
			return "", err
		}
		text = string(data)
	}
	for _, variable := range environ {
		if name, value, _ := strings.Cut(variable, "="); s.Variable != "" && name == s.Variable {
			text = value
		}
	}
	key := strings.TrimSpace(text)
	switch {
	case key == "":
		return "", fmt.Errorf("%s is missing or empty", s)
	case strings.ContainsAny(key, "\r\n\x00"):
		return "", fmt.Errorf("%s has more than one line", s)
	default:
		return key, nil
	}
}

// String names the source.
func (s KeySource) String() string {
	if s.File != "" {
		return "file " + s.File
	}
	return "environment variable " + s.Variable
}

// hiddenValue stands for values in mistakes that may be keys.
const hiddenValue = "a value that is not shown"

// hideKeys replaces the values in mistakes about keys: a key may have been written in place
// of its source.
func hideKeys(err error) error {
	mistakes, ok := strictyaml.AsMistakes(err)
	if !ok {
		return err
	}
	hidden := make(strictyaml.Mistakes, 0, len(mistakes))
	for _, m := range mistakes {
		if strings.HasPrefix(m.Key, customersPath) && !strings.HasSuffix(m.Key, ".name") && m.Value != "" {
			m.Value = hiddenValue
		}
		hidden = append(hidden, m)
	}
	return hidden
}

// takeKeyVariables removes the variables that hold keys from those that are settings.
func takeKeyVariables(customers []Customer, variables map[string]string) {
	for _, entry := range customers {
		for _, source := range entry.Keys {
			delete(variables, source.Variable)
		}
	}
}
