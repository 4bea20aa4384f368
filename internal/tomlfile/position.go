package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is the line and column of a field's name, both counted from 1.
type position struct{ line, column int }

// indexer walks through a file's text and records the position of each field.
type indexer struct {
	file         *File
	parser       unstable.Parser
	table        string         // path of the current table
	arrayLengths map[string]int // elements read, by the path of an array of tables
}

// index records the position of each field and the paths of bare numbers, up to the first syntax error.
func (f *File) index(text []byte) {
	x := &indexer{file: f, arrayLengths: make(map[string]int)}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		switch e := x.parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			x.enterTable(e)
		case unstable.KeyValue:
			x.indexKeyValue(x.table, e)
		}
	}
}

// enterTable makes the table of a header the current one. A header names an element of an array of tables by the
// array's name alone; it means the last element read.
func (x *indexer) enterTable(header *unstable.Node) {
	parts, first := keyParts(header.Key())
	x.table = ""
	for i, part := range parts {
		x.table = join(x.table, part)
		inside := i < len(parts)-1 || header.Kind == unstable.Table
		if count, isArray := x.arrayLengths[x.table]; isArray && inside {
			x.table = join(x.table, strconv.Itoa(count-1))
		}
	}
	if header.Kind == unstable.ArrayTable {
		x.arrayLengths[x.table]++
		x.table = join(x.table, strconv.Itoa(x.arrayLengths[x.table]-1))
	}
	x.recordPosition(x.table, first)
}

// indexKeyValue records a field of a table, and the fields inside its value.
func (x *indexer) indexKeyValue(table string, expression *unstable.Node) {
	parts, first := keyParts(expression.Key())
	path := join(table, strings.Join(parts, "."))
	x.recordPosition(path, first)
	x.indexValue(path, expression.Value())
}

// indexValue records the fields inside a value, and the paths of bare numbers.
func (x *indexer) indexValue(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.Integer, unstable.Float:
		x.file.numbers = append(x.file.numbers, path)
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			x.indexKeyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			x.indexValue(join(path, strconv.Itoa(i)), it.Node())
		}
	}
}

// recordPosition stores the position of a path the first time the path occurs.
func (x *indexer) recordPosition(path string, n *unstable.Node) {
	if _, known := x.file.positions[path]; known {
		return
	}
	text := n.Raw
	if text.Length == 0 && len(n.Data) > 0 {
		text = x.parser.Range(n.Data)
	}
	start := x.parser.Shape(text).Start
	x.file.positions[path] = position{start.Line, start.Column}
}

// keyParts returns the parts of a dotted key, and the node of the first part.
func keyParts(it unstable.Iterator) (parts []string, first *unstable.Node) {
	for it.Next() {
		n := *it.Node()
		if first == nil {
			first = &n
		}
		parts = append(parts, string(n.Data))
	}
	return parts, first
}
