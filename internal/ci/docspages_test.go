package main

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// This file parses Markdown pages: their code, links and headings.

// repository is the root of the source tree that the tests check.
var repository = filepath.Join("..", "..")

// page is one page of the docs: its path from the root and its text.
type page struct{ name, text string }

// located is a part of a page and the number of the line in which it begins, counted from 1.
type located struct {
	line int
	text string
}

// pages reads the pages that are checked: README.md, DEVELOPERS.md if it exists, and all pages under docs.
func pages(t *testing.T, root string) (all []page) {
	t.Helper()
	names := []string{"README.md", "DEVELOPERS.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(name string, _ fs.DirEntry, err error) error {
		if filepath.Ext(name) == ".md" {
			if name, err := filepath.Rel(root, name); err == nil {
				names = append(names, filepath.ToSlash(name))
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
		if os.IsNotExist(err) && name == "DEVELOPERS.md" {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, page{name, string(text)})
	}
	return all
}

// spans returns the code in a page: spans in backquotes, and the lines of code blocks.
func spans(text string) (all []located) {
	lines := strings.Split(text, "\n")
	fenced := false
	for i := 0; i < len(lines); i++ {
		line := lines[i]
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), "```"):
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			if line = strings.TrimSpace(line); line != "" {
				all = append(all, located{i + 1, line})
			}
		default:
			paragraph, from := line, i
			for strings.Count(paragraph, "`")%2 == 1 && i+1 < len(lines) && strings.TrimSpace(lines[i+1]) != "" {
				i++
				paragraph += "\n" + lines[i]
			}
			for _, m := range codeSpan.FindAllStringSubmatchIndex(paragraph, -1) {
				group := slices.IndexFunc([]int{m[2], m[4]}, func(at int) bool { return at >= 0 })
				span := paragraph[m[2+2*group]:m[3+2*group]]
				all = append(all, located{from + 1 + strings.Count(paragraph[:m[0]], "\n"),
					strings.ReplaceAll(span, "\n", " ")})
			}
		}
	}
	return all
}

// firstColumns returns the code spans in the first column of each table whose first header is one of headers.
func firstColumns(text string, headers []string) (all []located) {
	inTable := false
	for i, line := range strings.Split(text, "\n") {
		first, _, ok := strings.Cut(strings.TrimPrefix(line, "|"), " |")
		switch first = strings.TrimSpace(first); {
		case !strings.HasPrefix(line, "|") || !ok:
			inTable = false
		case slices.Contains(headers, first):
			inTable = true
		case inTable:
			for _, s := range spans(first) {
				all = append(all, located{i + 1, s.text})
			}
		}
	}
	return all
}

// messages returns the code spans that consist of several plain words and are not commands. These are log messages and
// names of rules.
func messages(text string) (all []located) {
	lines := strings.Split(text, "\n")
	for _, s := range spans(text) {
		first, _, _ := strings.Cut(s.text, " ")
		if plainWords.MatchString(s.text) && !slices.Contains([]string{"go", "make", "thymebend", "thymelab"}, first) &&
			!strings.HasPrefix(lines[s.line-1], "    ") {
			all = append(all, s)
		}
	}
	return all
}

// headings returns the anchors of a page's headings, formed as common Markdown renderers do.
func headings(text string) (all []string) {
	fenced := false
	for line := range strings.SplitSeq(text, "\n") {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
		}
		if title := strings.TrimLeft(line, "#"); !fenced && title != line && strings.HasPrefix(title, " ") {
			kept := notInAnchor.ReplaceAllString(strings.ToLower(strings.TrimSpace(title)), "")
			all = append(all, strings.ReplaceAll(kept, " ", "-"))
		}
	}
	return all
}

// links returns the targets of the links in a page.
func links(text string) (all []located) {
	for i, line := range strings.Split(text, "\n") {
		for _, m := range link.FindAllStringSubmatch(line, -1) {
			all = append(all, located{i + 1, m[1]})
		}
	}
	return all
}

// resolve returns an error if the target of a link in the page from does not exist.
func resolve(root, from, target string, anchors map[string][]string) error {
	if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
		return nil
	}
	file, anchor, _ := strings.Cut(target, "#")
	to := from
	if file != "" {
		to = path.Join(path.Dir(from), file)
	}
	if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(to))); err != nil {
		return fmt.Errorf("the file %s does not exist", to)
	}
	if anchor != "" && !slices.Contains(anchors[to], anchor) {
		return fmt.Errorf("%[2]s has no heading #%[1]s", anchor, to)
	}
	return nil
}

var (
	codeSpan    = regexp.MustCompile("(?s)``(.+?)``|`([^`]+)`")
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	plainWords  = regexp.MustCompile(`^[a-z]+:?( [a-z':,]+)+$`)
)
