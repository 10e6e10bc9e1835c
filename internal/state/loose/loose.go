// Package loose reads JSON of which a part may be unreadable, such as a list in which
// another writer has left an odd entry.
//
// A decoder of the whole text fails if any part of it has the wrong type, is nested too
// deeply or is no JSON. This package only finds where the parts begin and end, without
// recursion, so that the caller decodes each by itself and loses only the odd one.
//
// # Usage
//
//	for name, value := range loose.Fields(body) {
//		if name != "items" {
//			continue
//		}
//		for item := range loose.Items(value) {
//			err := json.Unmarshal(item, &object)
//		}
//	}
//
// Parts are slices of the text and are not checked to be JSON. If the end of a part cannot
// be found, the part is the rest of the text and the last one; Ends reports that.
package loose

import (
	"bytes"
	"encoding/json"
	"iter"
)

// Fields returns the names and values of an object, in their order. It returns none if the
// text does not begin like an object.
func Fields(text []byte) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		rest, ok := after(text, '{')
		for ok && len(rest) > 0 && rest[0] == '"' {
			length := end(rest)
			if length < 0 {
				return
			}
			var name string
			if json.Unmarshal(rest[:length], &name) != nil {
				name = ""
			}
			if rest, ok = after(rest[length:], ':'); !ok {
				return
			}
			var value []byte
			value, rest, ok = part(rest)
			if !yield(name, value) {
				return
			}
		}
	}
}

// Items returns the values of an array, in their order. It returns none if the text does
// not begin like an array.
func Items(text []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		rest, ok := after(text, '[')
		for ok && len(rest) > 0 && rest[0] != ']' {
			var value []byte
			value, rest, ok = part(rest)
			if !yield(value) {
				return
			}
		}
	}
}

// Ends reports whether the text is one value whose end can be found, with nothing but
// space behind it.
func Ends(text []byte) bool {
	length := end(text)
	return length > 0 && len(bytes.TrimLeft(text[length:], space)) == 0
}

// part cuts the value at the beginning of the text from what follows the next comma. ok is
// set if a comma follows the value.
func part(text []byte) (value, rest []byte, ok bool) {
	length := end(text)
	if length <= 0 {
		return text, nil, false
	}
	rest = bytes.TrimLeft(text[length:], space)
	if len(rest) > 0 && rest[0] != ',' && rest[0] != ']' && rest[0] != '}' {
		return text, nil, false
	}
	rest, ok = after(rest, ',')
	return text[:length], rest, ok
}

const space = " \t\r\n"

// after returns what follows the character, which may have space around it; false if the
// text does not begin with it.
func after(text []byte, character byte) ([]byte, bool) {
	text = bytes.TrimLeft(text, space)
	if len(text) == 0 || text[0] != character {
		return nil, false
	}
	return bytes.TrimLeft(text[1:], space), true
}

// end returns the length of the value at the beginning of the text, -1 if it has no end.
// open has the closing bracket of each value that contains the current position.
func end(text []byte) int {
	var open []byte
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '"':
			length := endOfString(text[i:])
			if length < 0 {
				return -1
			}
			i += length - 1
		case '{', '[':
			open = append(open, c+2) // '{'+2 is '}', '['+2 is ']'.
			continue
		case '}', ']':
			if len(open) == 0 || open[len(open)-1] != c {
				return -1
			}
			open = open[:len(open)-1]
		case ' ', '\t', '\r', '\n', ',', ':':
			continue
		default:
			i += endOfScalar(text[i:]) - 1
		}
		if len(open) == 0 {
			return i + 1
		}
	}
	return -1
}

// endOfString returns the length of the string at the beginning of the text, -1 if it has
// no end.
func endOfString(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// endOfScalar returns the length of the number or word at the beginning of the text.
func endOfScalar(text []byte) int {
	if length := bytes.IndexAny(text, ",:]}[{\""+space); length >= 0 {
		return length
	}
	return len(text)
}
