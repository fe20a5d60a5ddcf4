package config

// Rule is the kind of rule that a Problem breaks. Programs may depend on the values.
type Rule string

// Rules of a document.
const (
	// RuleSyntax means that the document is not JSON.
	RuleSyntax Rule = "syntax"
	// RuleUnknownField means a misspelt field or one that does not exist.
	RuleUnknownField Rule = "unknown_field"
	// RuleMissingField means that a required field is absent.
	RuleMissingField Rule = "missing_field"
	// RuleRepeated means a repeated field, list element or key digest.
	RuleRepeated Rule = "repeated"
	// RuleType means a value of another JSON type than the field has.
	RuleType Rule = "wrong_type"
	// RuleReference means the id of an entry that does not exist or is of another kind.
	RuleReference Rule = "bad_reference"
	// RuleRange means a number or a length outside its bounds.
	RuleRange Rule = "out_of_range"
	// RuleFormat means a text that is not among the allowed ones.
	RuleFormat Rule = "bad_format"
	// RuleConflict means a value that another value of the document excludes.
	RuleConflict Rule = "conflict"
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		RuleSyntax, RuleUnknownField, RuleMissingField, RuleRepeated, RuleType, RuleReference, RuleRange, RuleFormat,
		RuleConflict,
	}
}
