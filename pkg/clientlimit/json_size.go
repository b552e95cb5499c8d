package clientlimit

// jsonSize counts what takes more memory in a decoded JSON text than its bytes. It takes the text in parts.
type jsonSize struct {
	inString, escaped bool
}

// add returns the objects and commas in a part of the text, without those inside strings.
func (s *jsonSize) add(part []byte) (objects, commas int64) {
	for _, b := range part {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString && b == '\\':
			s.escaped = true
		case b == '"':
			s.inString = !s.inString
		case s.inString:
		case b == '{':
			objects++
		case b == ',':
			commas++
		}
	}
	return objects, commas
}
