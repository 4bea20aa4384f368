package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is where a field's name stands, both from 1.
type position struct{ line, column int }

// indexer walks a file's text and notes where each field stands.
type indexer struct {
	file   *File
	parser unstable.Parser
	table  string         // path of the table that the walk is in
	counts map[string]int // by the path of an array of tables: its elements so far
}

// index notes where each field stands. It goes as far as the text can be parsed.
func (f *File) index(text []byte) {
	x := &indexer{file: f, counts: make(map[string]int)}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		switch e := x.parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			x.enterTable(e)
		case unstable.KeyValue:
			x.keyValue(x.table, e)
		}
	}
}

// enterTable follows a table's header. A header names an element of an array of tables by the array alone: the
// last one so far is meant.
func (x *indexer) enterTable(header *unstable.Node) {
	words, first := keyWords(header.Key())
	x.table = ""
	for i, word := range words {
		x.table = join(x.table, word)
		inside := i < len(words)-1 || header.Kind == unstable.Table
		if count, isArray := x.counts[x.table]; isArray && inside {
			x.table = join(x.table, strconv.Itoa(count-1))
		}
	}
	if header.Kind == unstable.ArrayTable {
		x.counts[x.table]++
		x.table = join(x.table, strconv.Itoa(x.counts[x.table]-1))
	}
	x.note(x.table, first)
}

func (x *indexer) keyValue(table string, expression *unstable.Node) {
	words, first := keyWords(expression.Key())
	path := join(table, strings.Join(words, "."))
	x.note(path, first)
	x.value(path, expression.Value())
}

// value looks for fields inside a value, and for bare numbers.
func (x *indexer) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.Integer, unstable.Float:
		x.file.numbers = append(x.file.numbers, path)
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			x.value(join(path, strconv.Itoa(i)), it.Node())
		}
	}
}

// note keeps the place where a path stands first.
func (x *indexer) note(path string, n *unstable.Node) {
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

// keyWords are the words of a dotted key, and the node of the first.
func keyWords(it unstable.Iterator) (words []string, first *unstable.Node) {
	for it.Next() {
		n := *it.Node()
		if first == nil {
			first = &n
		}
		words = append(words, string(n.Data))
	}
	return words, first
}
