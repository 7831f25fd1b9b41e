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

// prompt asks the questions of the questionnaire, each again until its answer
// is valid.
type prompt struct {
	in    *bufio.Scanner
	out   io.Writer
	given questionnaire.Answers
}

// question is one question about the field of the answers at path.
type question struct {
	path     string
	text     string
	fallback string
	// set stores an answer and returns what was expected, or "" if it fits.
	set func(text string) (expected string)
}

func newPrompt(in io.Reader, out io.Writer) *prompt {
	return &prompt{in: bufio.NewScanner(in), out: out}
}

// answers asks all questions. It fails if the input ends before the last one.
func (p *prompt) answers() (questionnaire.Answers, error) {
	general := []question{
		{path: "deployment", text: "Name of the deployment", set: scalar(&p.given.Deployment)},
		{path: "domains", text: "Failure domains, separated by commas", set: domains(&p.given.Domains)},
		{path: "detect", text: "Detection of failing servers, careful or fast", fallback: "careful", set: scalar(&p.given.Detect)},
	}
	if err := p.askAll(general); err != nil {
		return questionnaire.Answers{}, err
	}
	if err := p.services(); err != nil {
		return questionnaire.Answers{}, err
	}
	err := p.tenants()
	return p.given, err
}

// services asks for services until a name is empty; one is required.
func (p *prompt) services() error {
	for i := 0; ; i++ {
		p.given.Services = append(p.given.Services, questionnaire.Service{})
		s := &p.given.Services[i]
		path := problem.IndexedPath("services", i)
		name := question{path: path + ".name", text: "Service", set: scalar(&s.Name)}
		if i > 0 {
			name.text = "Next service, or nothing if that was the last"
		}
		more, err := p.ask(name, i > 0)
		if err != nil || !more {
			p.given.Services = p.given.Services[:i]
			return err
		}
		err = p.askAll([]question{
			{path: path + ".servers", text: "  Servers expected to run", set: scalar(&s.Servers)},
			{path: path + ".slots", text: "  Requests that one server works on at a time", set: scalar(&s.Slots)},
			{path: path + ".conns", text: "  Connections that one server accepts", set: scalar(&s.Conns)},
			{path: path + ".floor", text: "  Servers that must stay in use, whatever detection says", set: scalar(&s.Floor)},
			{path: path + ".deadline", text: "  Longest time of a request", fallback: "2s", set: scalar(&s.Deadline)},
			{path: path + ".protected", text: "  Requests that must run at most once, such as POST /swaps, separated by commas", set: requests(&s.Protected)},
			{path: path + ".idempotent", text: "  Requests other than GET, HEAD and OPTIONS that may be repeated", set: requests(&s.Idempotent)},
		})
		if err != nil {
			return err
		}
	}
}

// tenants asks for tenants until a name is empty; none is required.
func (p *prompt) tenants() error {
	for i := 0; ; i++ {
		p.given.Tenants = append(p.given.Tenants, questionnaire.Tenant{})
		t := &p.given.Tenants[i]
		path := problem.IndexedPath("tenants", i)
		name := question{path: path + ".name", text: "Tenant, or nothing if there is no other", set: scalar(&t.Name)}
		more, err := p.ask(name, true)
		if err != nil || !more {
			p.given.Tenants = p.given.Tenants[:i]
			return err
		}
		err = p.askAll([]question{
			{path: path + ".class", text: "  Class of the tenant", set: scalar(&t.Class)},
			{path: path + ".weight", text: "  Weight of the tenant when requests queue", fallback: "1", set: scalar(&t.Weight)},
		})
		if err != nil {
			return err
		}
	}
}

func (p *prompt) askAll(questions []question) error {
	for _, q := range questions {
		if _, err := p.ask(q, false); err != nil {
			return err
		}
	}
	return nil
}

// ask asks a question until the answer is valid. If the question is
// optional, an empty answer ends it and the result is false.
func (p *prompt) ask(q question, optional bool) (answered bool, err error) {
	for {
		text, err := p.read(q)
		if err != nil {
			return false, err
		}
		if optional && text == "" {
			return false, nil
		}
		expected := q.set(text)
		if expected == "" {
			expected = p.expected(q.path)
		}
		if expected == "" {
			return true, nil
		}
		_, _ = fmt.Fprintf(p.out, "  got %q, expected %s\n", text, expected)
	}
}

// read prints a question and returns the line that answers it.
func (p *prompt) read(q question) (string, error) {
	if q.fallback != "" {
		_, _ = fmt.Fprintf(p.out, "%s [%s]: ", q.text, q.fallback)
	} else {
		_, _ = fmt.Fprintf(p.out, "%s: ", q.text)
	}
	if !p.in.Scan() {
		_, _ = fmt.Fprintln(p.out)
		return "", fmt.Errorf("questionnaire: input ended before the answer to %q", strings.TrimSpace(q.text))
	}
	text := strings.TrimSpace(p.in.Text())
	if text == "" {
		return q.fallback, nil
	}
	return text, nil
}

// expected returns what validation expects at a path, or "" if it is right.
// Problems at other paths are those of questions that are still to come.
func (p *prompt) expected(path string) string {
	list, _ := problem.FromError(questionnaire.Validate(p.given))
	for _, found := range list {
		rest, below := strings.CutPrefix(found.Path, path)
		if below && (rest == "" || rest[0] == '[' || rest[0] == '.') {
			return found.Expected
		}
	}
	return ""
}

// scalar sets a single value.
func scalar(target any) func(string) string {
	return func(text string) string {
		return strictyaml.SetScalar(reflect.ValueOf(target).Elem(), text)
	}
}

// domains sets a list of failure domains.
func domains(target *[]fleet.Domain) func(string) string {
	return func(text string) string {
		*target = nil
		for part := range strings.SplitSeq(text, ",") {
			*target = append(*target, fleet.Domain(strings.TrimSpace(part)))
		}
		return ""
	}
}

// requests sets a list of requests; an empty text is an empty list.
func requests(target *[]questionnaire.RequestPattern) func(string) string {
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
