package call

// Field is one header field.
type Field struct{ Name, Value string }
