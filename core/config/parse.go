package config

import (
	"bytes"
	"encoding/json"

	"github.com/chervilhatch/chervilhatch/findings"
	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Parse decodes and validates a document. It reports all findings, each with its
// position in file, and returns the document only if there are none.
func Parse(file string, data []byte) (*Document, findings.List) {
	doc := &Document{}
	source := jsondoc.Decode(file, data, doc)
	if source.Parsed() {
		checkDocument(doc, source)
	}
	if list := source.Findings(); len(list) > 0 {
		return nil, list
	}
	doc.index = newIndex(doc)
	return doc, nil
}

// Encode returns the canonical form of a document: all fields in a fixed order,
// without comments. Equal documents have equal canonical forms.
func Encode(d *Document) []byte {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(d); err != nil {
		// Only NaN and infinities cannot be encoded, and Parse rejects them.
		panic("encode configuration: " + err.Error())
	}
	return b.Bytes()
}
