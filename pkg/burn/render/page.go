package render

import (
	"html/template"
	"image/color"
	"strings"
	"time"
)

var lineColor = color.RGBA{R: 0x8f, G: 0x1d, B: 0x3f, A: 0xff}

// formatWindow formats a window without trailing zero units, such as "6h" or "5m".
func formatWindow(d time.Duration) string {
	return strings.TrimSuffix(strings.TrimSuffix(d.String(), "0s"), "0m")
}

// formatValue returns v, or a placeholder if it is empty.
func formatValue(v string) string {
	if v == "" {
		return "(not stated)"
	}
	return v
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) float64 { return percent * v },
	"rate":    formatRate,
	"hours":   formatWindow,
	"value":   formatValue,
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Error budgets</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; margin: .6em 0; }
th, td { border: 1px solid #ccc; padding: .2em .7em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.BURNING { background: #8f1d3f; color: #fff; padding: 0 .5em; border-radius: .3em; }
.ok { background: #2c6e49; color: #fff; padding: 0 .5em; border-radius: .3em; }
</style>
</head>
<body>
<h1>Error budgets</h1>
<p>As of {{.At}}. A burn rate of 1 spends the budget in exactly its period. Minutes
without data are gaps in the plots and lower the share of data in the tables.</p>
{{range .Sections}}
<h2>{{.Collection}}: {{.Objective}} <span class="{{.State}}">{{.State}}</span></h2>
<p>Objective: {{printf "%g" (percent .TargetShare)}}% of requests.{{range $name, $ms := .LatencyMs}} {{$name}} {{printf "%.1f" $ms}} ms.{{end}}</p>
<table><tr><th>window</th>{{range .Windows}}<th>{{hours .Window}}</th>{{end}}</tr>
<tr><td>burn rate</td>{{range .Windows}}<td>{{rate .}}</td>{{end}}</tr>
<tr><td>bad</td>{{range .Windows}}<td>{{.Counts.Bad}}</td>{{end}}</tr>
<tr><td>requests</td>{{range .Windows}}<td>{{.Counts.Total}}</td>{{end}}</tr>
<tr><td>minutes with data</td>{{range .Windows}}<td>{{printf "%.0f" (percent .Present)}}%</td>{{end}}</tr></table>
{{.Plot}}
{{if .Causes}}<table><tr><th>bad requests of the last hour by</th><th>value</th><th>bad</th><th>share</th></tr>
{{range .Causes}}<tr><td>{{.Dimension}}</td><td>{{value .Value}}</td><td>{{.Counts.Bad}}</td><td>{{printf "%.0f" (percent .Share)}}%</td></tr>
{{end}}</table>{{end}}
{{end}}
</body>
</html>
`))
