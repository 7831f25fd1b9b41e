package document

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"galenaridge/core/config"
	"galenaridge/core/problem"
	"galenaridge/core/questionnaire"
	"galenaridge/io/strictyaml"
)

// maxValueBytes is the size of the largest value that the platform stores, in bytes.
const maxValueBytes = 1_000_000

// maxLineCommentBytes is the longest comment, in bytes, that is put on the line of its
// value; longer ones are put on a line of their own above it.
const maxLineCommentBytes = 60

// TooLargeError means that a configuration is larger than a value of the platform
// may be.
type TooLargeError struct {
	// Size is the size of the encoded configuration in bytes.
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration has %d bytes, more than the %d of a platform value", e.Size, maxValueBytes)
}

// IsTooLarge reports whether err is a TooLargeError.
func IsTooLarge(err error) bool {
	var large *TooLargeError
	return errors.As(err, &large)
}

// DecodeAnswers decodes and validates answers. The file name is used only in
// errors. Invalid answers are returned as strictyaml.Mistakes.
func DecodeAnswers(file string, data []byte) (questionnaire.Answers, error) {
	var a questionnaire.Answers
	positions, err := strictyaml.Decode(file, data, &a)
	if err != nil {
		return questionnaire.Answers{}, err
	}
	if err := questionnaire.Validate(a); err != nil {
		return questionnaire.Answers{}, positions.LocateProblems(err)
	}
	return a, nil
}

// EncodeAnswers encodes answers as YAML and omits zero values.
func EncodeAnswers(a questionnaire.Answers) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(a, yaml.IndentSequence(true), yaml.OmitZero())
	return data, eris.Wrap(err, "encode answers")
}

// DecodeConfig decodes a configuration document, validates it and checks its
// digest. The file name is used only in errors. An invalid document is returned as
// strictyaml.Mistakes.
func DecodeConfig(file string, data []byte) (config.Document, error) {
	var d config.Document
	positions, err := strictyaml.Decode(file, data, &d)
	if err != nil {
		return config.Document{}, err
	}
	if err := config.Validate(d); err != nil {
		return config.Document{}, positions.LocateProblems(err)
	}
	if digest := config.DigestOf(d); d.Digest != digest {
		return config.Document{}, strictyaml.Mistakes{positions.LocateProblem(problem.Problem{
			Path: "digest", Value: string(d.Digest),
			Expected: string(digest) + "; configuration is generated from answers, never edited",
		})}
	}
	return d, nil
}

// EncodeConfig encodes a configuration document as YAML with the notes as
// comments; notes may be nil. It returns a TooLargeError if the result is larger
// than a value of the platform may be.
func EncodeConfig(d config.Document, notes []questionnaire.Note) ([]byte, error) {
	comments := make(yaml.CommentMap, len(notes))
	for _, n := range notes {
		comment := yaml.LineComment(" " + n.Text)
		if len(n.Text) > maxLineCommentBytes {
			comment = yaml.HeadComment(" " + n.Text)
		}
		comments["$."+n.Path] = []*yaml.Comment{comment}
	}
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true), yaml.WithComment(comments))
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	if len(data) > maxValueBytes {
		return nil, &TooLargeError{Size: len(data)}
	}
	return bytes.TrimRight(data, " "), nil
}
