package cmd

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"

	"galenaridge/core/fleet"
	"galenaridge/core/problem"
	"galenaridge/core/questionnaire"
	"galenaridge/io/strictyaml"
)

// prompt asks the questions of the questionnaire and repeats each until its answer
// is valid.
type prompt struct {
	in      *bufio.Scanner
	out     io.Writer
	answers questionnaire.Answers
}

// question is one question about the field of the answers at path.
type question struct {
	path          string
	text          string
	defaultAnswer string
	// set parses and stores an answer. It returns a description of the expected
	// text if parsing fails, otherwise an empty string.
	set func(text string) (expected string)
}

func newPrompt(in io.Reader, out io.Writer) *prompt {
	return &prompt{in: bufio.NewScanner(in), out: out}
}

// askAnswers asks all questions and returns the answers. It returns an error if
// the input ends before the last answer.
func (p *prompt) askAnswers() (questionnaire.Answers, error) {
	general := []question{
		{path: "deployment", text: "Name of the deployment", set: setScalar(&p.answers.Deployment)},
		{path: "domains", text: "Failure domains, separated by commas", set: setDomains(&p.answers.Domains)},
		{path: "detect", text: "Detection of failing servers, careful or fast", defaultAnswer: "careful", set: setScalar(&p.answers.Detect)},
	}
	if err := p.askQuestions(general); err != nil {
		return questionnaire.Answers{}, err
	}
	if err := p.askServices(); err != nil {
		return questionnaire.Answers{}, err
	}
	err := p.askCustomers()
	return p.answers, err
}

// askServices asks for services until a name is empty; one is required.
func (p *prompt) askServices() error {
	for i := 0; ; i++ {
		p.answers.Services = append(p.answers.Services, questionnaire.Service{})
		s := &p.answers.Services[i]
		path := problem.IndexedPath("services", i)
		name := question{path: path + ".name", text: "Service", set: setScalar(&s.Name)}
		if i > 0 {
			name.text = "Next service, or nothing if that was the last"
		}
		answered, err := p.ask(name, i > 0)
		if err != nil || !answered {
			p.answers.Services = p.answers.Services[:i]
			return err
		}
		err = p.askQuestions([]question{
			{path: path + ".servers", text: "  Servers expected to run", set: setScalar(&s.Servers)},
			{path: path + ".slots", text: "  Requests that one server processes at a time", set: setScalar(&s.Slots)},
			{path: path + ".conns", text: "  Connections that one server accepts", set: setScalar(&s.Conns)},
			{path: path + ".floor", text: "  Servers that must stay in use, even if they seem to fail", set: setScalar(&s.Floor)},
			{path: path + ".deadline", text: "  Longest time of a request", defaultAnswer: "2s", set: setScalar(&s.Deadline)},
			{path: path + ".protected", text: "  Requests that must run at most once, such as POST /swaps, separated by commas", set: setRequestPatterns(&s.Protected)},
			{path: path + ".idempotent", text: "  Requests other than GET, HEAD and OPTIONS that may be repeated", set: setRequestPatterns(&s.Idempotent)},
		})
		if err != nil {
			return err
		}
	}
}

// askCustomers asks for customers until a name is empty; none is required.
func (p *prompt) askCustomers() error {
	for i := 0; ; i++ {
		p.answers.Customers = append(p.answers.Customers, questionnaire.Customer{})
		t := &p.answers.Customers[i]
		path := problem.IndexedPath("tenants", i)
		name := question{path: path + ".name", text: "Customer, or nothing if there is no other", set: setScalar(&t.Name)}
		answered, err := p.ask(name, true)
		if err != nil || !answered {
			p.answers.Customers = p.answers.Customers[:i]
			return err
		}
		err = p.askQuestions([]question{
			{path: path + ".class", text: "  Class of the customer", set: setScalar(&t.Class)},
			{path: path + ".weight", text: "  Weight of the customer when requests queue", defaultAnswer: "1", set: setScalar(&t.Weight)},
		})
		if err != nil {
			return err
		}
	}
}

func (p *prompt) askQuestions(questions []question) error {
	for _, q := range questions {
		if _, err := p.ask(q, false); err != nil {
			return err
		}
	}
	return nil
}

// ask repeats a question until its answer is valid. It returns false for an empty
// answer to an optional question.
func (p *prompt) ask(q question, optional bool) (answered bool, err error) {
	for {
		text, err := p.readAnswer(q)
		if err != nil {
			return false, err
		}
		if optional && text == "" {
			return false, nil
		}
		expected := q.set(text)
		if expected == "" {
			expected = p.validate(q.path)
		}
		if expected == "" {
			return true, nil
		}
		_, _ = fmt.Fprintf(p.out, "  got %q, expected %s\n", text, expected)
	}
}

// readAnswer prints a question and returns the answer, or the default answer if
// the line is empty.
func (p *prompt) readAnswer(q question) (string, error) {
	if q.defaultAnswer != "" {
		_, _ = fmt.Fprintf(p.out, "%s [%s]: ", q.text, q.defaultAnswer)
	} else {
		_, _ = fmt.Fprintf(p.out, "%s: ", q.text)
	}
	if !p.in.Scan() {
		_, _ = fmt.Fprintln(p.out)
		return "", fmt.Errorf("questionnaire: input ended before the answer to %q", strings.TrimSpace(q.text))
	}
	text := strings.TrimSpace(p.in.Text())
	if text == "" {
		return q.defaultAnswer, nil
	}
	return text, nil
}

// validate returns what validation expects at a path, or an empty string if the
// answer there is valid. It ignores problems at other paths, since questions that
// have not been asked yet have no answer.
func (p *prompt) validate(path string) string {
	problems, _ := problem.FromError(questionnaire.Validate(p.answers))
	for _, found := range problems {
		rest, hasPrefix := strings.CutPrefix(found.Path, path)
		if hasPrefix && (rest == "" || rest[0] == '[' || rest[0] == '.') {
			return found.Expected
		}
	}
	return ""
}

// setScalar returns a function that parses an answer into a single value.
func setScalar(target any) func(string) string {
	return func(text string) string {
		return strictyaml.SetScalar(reflect.ValueOf(target).Elem(), text)
	}
}

// setDomains returns a function that parses an answer into a list of failure
// domains.
func setDomains(target *[]fleet.Domain) func(string) string {
	return func(text string) string {
		*target = nil
		for part := range strings.SplitSeq(text, ",") {
			*target = append(*target, fleet.Domain(strings.TrimSpace(part)))
		}
		return ""
	}
}

// setRequestPatterns returns a function that parses an answer into a list of
// request patterns. An empty answer is an empty list.
func setRequestPatterns(target *[]questionnaire.RequestPattern) func(string) string {
	return func(text string) string {
		*target = nil
		if text == "" {
			return ""
		}
		for part := range strings.SplitSeq(text, ",") {
			method, path, ok := strings.Cut(strings.TrimSpace(part), " ")
			if !ok {
				return "a method and a path, such as POST /swaps"
			}
			*target = append(*target, questionnaire.RequestPattern{Method: method, Path: strings.TrimSpace(path)})
		}
		return ""
	}
}
