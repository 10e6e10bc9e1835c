package table

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"ebonyscale.example/ebonyscale/internal/route/auth"
)

// documentAccount is the JSON form of a client account. Each field is decoded by itself,
// so that a fault in one loses neither the others nor the rest of the table. Errors of
// the JSON decoder are not used, as they may quote the value.
type documentAccount struct {
	Name, Priority json.RawMessage
	Keys           json.RawMessage
	// Digests has digests of keys in place of Keys, in the form that processes send to
	// each other: see WithoutKeys.
	Digests json.RawMessage
}

// accountParser collects the entries of the list of accounts and their faults.
type accountParser struct {
	entries []auth.Entry
	faults  []auth.Fault
}

// parseAccounts parses the list of accounts. It has one entry for each in the list, with
// an empty name if that is not valid.
func parseAccounts(list []json.RawMessage) (auth.Accounts, []auth.Fault) {
	p := accountParser{entries: make([]auth.Entry, len(list))}
	for i, raw := range list {
		p.parse(i, raw)
	}
	accounts, faults := auth.New(p.entries)
	return accounts, append(p.faults, faults...)
}

// parse parses the entry at the index.
func (p *accountParser) parse(index int, raw json.RawMessage) {
	e := &p.entries[index]
	var d documentAccount
	if json.Unmarshal(raw, &d) != nil || json.Unmarshal(d.Name, &e.Name) != nil || e.Name == "" {
		// auth.New reports that the name is missing.
		return
	}
	if given(d.Priority) {
		if e.Priority, e.Ranked = parsePriority(d.Priority); !e.Ranked {
			p.fault(index, "Priority is not a whole number of at least 0; that of the route is used")
		}
	}
	for _, text := range p.texts(index, "Keys", d.Keys) {
		if !auth.ValidKey(text) {
			p.fault(index, "one of Keys is empty or has a space or a control character; it is ignored")
			continue
		}
		e.Keys = append(e.Keys, auth.Digest([]byte(text)))
	}
	for _, text := range p.texts(index, "Digests", d.Digests) {
		key, err := auth.ParseHex(text)
		if err != nil {
			p.fault(index, "one of Digests is not valid; it is ignored")
			continue
		}
		e.Keys = append(e.Keys, key)
	}
}

// fault records a fault of the entry at the index.
func (p *accountParser) fault(index int, text string) {
	p.faults = append(p.faults, auth.Fault{Index: index, Name: p.entries[index].Name, Text: text})
}

// texts decodes a list of texts. Elements that are no texts are left out.
func (p *accountParser) texts(index int, field string, raw json.RawMessage) []string {
	if !given(raw) {
		return nil
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		p.fault(index, field+" is not a list; it is ignored")
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, element := range list {
		var text *string
		if json.Unmarshal(element, &text) != nil || text == nil {
			p.fault(index, "one of "+field+" is not a text; it is ignored")
			continue
		}
		texts = append(texts, *text)
	}
	return texts
}

// given reports whether a value is present and not null.
func given(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// parsePriority parses a priority, which some writers encode with a fraction such as 1.0.
func parsePriority(raw json.RawMessage) (int, bool) {
	var n float64
	if json.Unmarshal(raw, &n) != nil || n < 0 || n > math.MaxInt32 || n != math.Trunc(n) {
		return 0, false
	}
	return int(n), true
}

// WithoutKeys returns the JSON form of the table t with the digests of keys in place of
// the keys, for messages between processes. data is the form that t was parsed from; it
// is returned as it is if it has no list of accounts. Accounts and keys with faults are
// left out.
func WithoutKeys(t *Table, data []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil, fmt.Errorf("%w: not an object", ErrInvalid)
	}
	// A list with keys may be present although no accounts are configured: the decoder
	// ignores the case of names, and a later null takes precedence.
	listed := false
	for name := range fields {
		if strings.EqualFold(name, accountsField) {
			delete(fields, name)
			listed = true
		}
	}
	if !listed {
		return data, nil
	}
	if t.Accounts.Required() {
		encoded, err := encodeAccounts(&t.Accounts)
		if err != nil {
			return nil, err
		}
		fields[accountsField] = encoded
	}
	return json.Marshal(fields)
}

// encodeAccounts returns the JSON form of the list of accounts with digests of keys.
func encodeAccounts(accounts *auth.Accounts) ([]byte, error) {
	type account struct {
		Name     string
		Priority *int `json:",omitempty"`
		Digests  []string
	}
	list := make([]account, 0, accounts.Len())
	for _, e := range accounts.Entries() {
		a := account{Name: e.Name}
		if e.Ranked {
			a.Priority = &e.Priority
		}
		for _, k := range e.Keys {
			a.Digests = append(a.Digests, k.Hex())
		}
		list = append(list, a)
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode accounts: %w", err)
	}
	return encoded, nil
}

// accountsField is the name of the list of accounts.
const accountsField = "Accounts"
