// Package jsonbody checks JSON bodies that are decoded piece by piece, by decoders that do not notice where a body ends.
package jsonbody

import "bytes"

// IsWholeObject reports whether a body is one JSON object, from its first bracket to the one that closes it. It does not validate what is
// between them. A body that ends with its connection may be cut off anywhere.
func IsWholeObject(body []byte) bool {
	body = bytes.TrimSpace(body)
	depth, inString := 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth == 0 {
				return body[0] == '{' && i == len(body)-1
			}
		}
	}
	return false
}
