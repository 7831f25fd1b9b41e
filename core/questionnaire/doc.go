// Package questionnaire holds the answers of a team about its deployment and generates the
// configuration document from them.
//
// Generation is deterministic: the same answers and the same previous version give the
// same document. Every derived number in the document has a note on how it was derived,
// so that operators can check it.
package questionnaire
