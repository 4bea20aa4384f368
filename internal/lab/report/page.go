package report

import "html/template"

// pageTemplate returns the template of the HTML page. It is parsed for each report, so that the package has no state.
func pageTemplate() *template.Template { return template.Must(template.New("page").Parse(pageText)) }

const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.45 system-ui,"Liberation Sans",Arial,sans-serif;color:#1c1c1c;max-width:62rem;margin:1.5rem auto;padding:0 1rem;background:#fff}
h1{font-size:1.5rem;margin:0 0 .3rem}h2{font-size:1.15rem;margin:2rem 0 .3rem;border-bottom:1px solid #ccc}
p{margin:.3rem 0 .6rem}.facts{color:#555}.ok,.bad{padding:.5rem .7rem;border-left:4px solid #009e73;background:#f1faf7}
.bad{border-color:#d55e00;background:#fdf3ec}
table{border-collapse:collapse;margin:.4rem 0 1rem}td,th{padding:.15rem .8rem .15rem 0;text-align:right;border-bottom:1px solid #e5e5e5;vertical-align:top}
td:first-child,th:first-child,.text td{text-align:left}tr.broken td{color:#b34700;font-weight:600}
svg{max-width:100%;height:auto;margin:.2rem 0}svg text{font-family:"Liberation Sans",Arial,sans-serif!important}
figure{margin:.6rem 0}figcaption{font-size:.85rem}.key{margin-left:.8rem;white-space:nowrap}
.small{display:flex;flex-wrap:wrap;gap:0 1%}.small figure{width:49%}details{margin:.5rem 0}
.cols{display:flex;flex-wrap:wrap;gap:0 3rem}
</style></head><body>
<h1>{{.Title}}</h1>
<p>{{.About}}</p><p class="facts">{{.Facts}}</p>
<p class="{{if .Bad}}bad{{else}}ok{{end}}">{{.Verdict}}</p>
<div class="cols"><div><h2>Figures</h2>
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Figures}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
<div><h2>Standing rules</h2>
<table><tr><th>rule</th><th>broken</th></tr>
{{range .Rules}}<tr{{if .Broken}} class="broken"{{end}}><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div></div>
{{if .Findings}}<details open><summary>What was found, by id</summary><table class="text">
{{range .Findings}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></details>{{end}}
{{if .Events}}<details><summary>Events, numbered as in the plots</summary><table class="text">
{{range .Events}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></details>{{end}}
{{range .Sections}}<h2>{{.Title}}</h2><p>{{.Text}}</p><div{{if .Small}} class="small"{{end}}>{{range .Plots}}{{.}}{{end}}</div>
{{end}}</body></html>
`
