package platform

import (
	"encoding/json"
	"net/netip"

	"galenaridge/core/fleet"
)

// maxEntryDepth is the depth of the deepest value of a listing that is read: the listing,
// its lists, their entries and a value in an entry.
const maxEntryDepth = 4

// decodeListing decodes the platform's listing. Entries that cannot be used are left out,
// so that an odd one does not hide the others, and their number is returned. An error has
// the Fault Invalid.
func decodeListing(value []byte) (fleet.Listing, int, error) {
	var raw struct {
		Revision  fleet.Revision    `json:"revision"`
		Instances []json.RawMessage `json:"instances"`
		Servers   []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(dropDeepValues(value), &raw); err != nil {
		return fleet.Listing{}, 0, &Error{Fault: Invalid, cause: err}
	}
	listing := fleet.Listing{
		Revision: raw.Revision,
		Instances: decodeEntries(raw.Instances, func(i fleet.ListedInstance) bool {
			return i.ID != "" && isAddress(i.PeerAddress) && (i.CallerAddress == "" || isAddress(i.CallerAddress))
		}),
		Servers: decodeEntries(raw.Servers, func(s fleet.ListedServer) bool {
			return s.ID != "" && isAddress(s.Address)
		}),
	}
	leftOut := len(raw.Instances) + len(raw.Servers) - len(listing.Instances) - len(listing.Servers)
	return listing, leftOut, nil
}

// decodeEntries decodes the entries that are valid.
func decodeEntries[E any](raw []json.RawMessage, valid func(E) bool) []E {
	var entries []E
	for _, text := range raw {
		var entry E
		if json.Unmarshal(text, &entry) == nil && valid(entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

func isAddress(address fleet.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Port() != 0
}

// dropDeepValues replaces the lists and objects below maxEntryDepth by null: a value that
// is nested too deeply for the decoder would make it refuse the whole text.
func dropDeepValues(text []byte) []byte {
	kept := make([]byte, 0, len(text))
	depth := 0
	inString, escaped := false, false
	for _, c := range text {
		dropped := depth > maxEntryDepth
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = c == '\\'
			inString = c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			depth++
			if depth == maxEntryDepth+1 {
				kept = append(kept, "null"...)
			}
			dropped = depth > maxEntryDepth
		case c == ']' || c == '}':
			depth--
		}
		if !dropped {
			kept = append(kept, c)
		}
	}
	return kept
}
