<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${name}, seed ${seed}</title>
<style>
body { font: 14px/1.45 sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 2px 10px; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
pre { background: #f6f6f6; padding: 8px; overflow-x: auto; font-size: 12px; }
.bad { color: #b00020; font-weight: bold; }
.good { color: #12701c; font-weight: bold; }
</style>
</head>
<body>
<h1>${name}</h1>
<p>${about} Seed ${seed}, ${rate} requests a second wanted.</p>
<#if violationCount == 0>
<p class="good">No rule broken.</p>
<#else>
<p class="bad">${violationCount} violations.</p>
</#if>

<#if statistics.consensus?has_content>
<p>${statistics.consensus}.</p>
</#if>

<#assign w = 900, h = 260, left = 45, n = statistics.seconds?size>
<#assign top = 1>
<#list statistics.seconds as s><#if (s.all > top)><#assign top = s.all></#if></#list>
<#function x second><#return left + second * (w - left) / n></#function>
<#function y count><#return h - count * (h - 20) / top></#function>
<#macro line field colour>
<polyline fill="none" stroke="${colour}" stroke-width="1.6" points="<#list statistics.seconds as s>${x(s?index + 0.5)},${y(s[field])} </#list>"/>
</#macro>
<h2>By second</h2>
<svg viewBox="0 0 ${w} ${h + 45}" width="100%" role="img" aria-label="requests by second and outcome">
<#list faults as f>
<#assign from = x(f.from), until = x((f.until > n)?then(n, f.until))>
<rect x="${from}" y="0" width="${(until - from > 1)?then(until - from, 1)}" height="${h}" fill="#c60" opacity="0.10"/>
<text x="${from + 2}" y="${12 + (f?index % 6) * 13}" font-size="10" fill="#964b00">${f.description}</text>
</#list>
<line x1="${left}" y1="${h}" x2="${w}" y2="${h}" stroke="#888"/>
<line x1="${left}" y1="0" x2="${left}" y2="${h}" stroke="#888"/>
<text x="2" y="${y(top) + 8}" font-size="11">${top}</text>
<text x="2" y="${h}" font-size="11">0</text>
<#list 0..n as s><#if s % 5 == 0><text x="${x(s)}" y="${h + 14}" font-size="11" text-anchor="middle">${s} s</text></#if></#list>
<@line field="served" colour="#12701c"/>
<@line field="rejected" colour="#1f5fbf"/>
<@line field="failed" colour="#8a2be2"/>
<@line field="lost" colour="#b00020"/>
<g font-size="12">
<text x="${left}" y="${h + 36}" fill="#12701c">served</text>
<text x="${left + 70}" y="${h + 36}" fill="#1f5fbf">rejected</text>
<text x="${left + 165}" y="${h + 36}" fill="#8a2be2">failed</text>
<text x="${left + 235}" y="${h + 36}" fill="#b00020">lost</text>
<text x="${left + 280}" y="${h + 36}" fill="#964b00">shaded: fault, until 3 s after it was healed</text>
</g>
</svg>

<#macro counts title rows>
<table>
<tr><th>${title}</th><th>requests</th><th>served</th><th>rejected</th><th>failed</th><th>lost</th></tr>
<#list rows as key, c>
<tr><td>${key}</td><td>${c.all}</td><td>${c.served}</td><td>${c.rejected}</td><td>${c.failed}</td><td>${c.lost}</td></tr>
</#list>
</table>
</#macro>
<h2>By gateway</h2>
<@counts title="gateway" rows=statistics.gateways/>
<h2>What was not served, by the fault near it</h2>
<@counts title="near" rows=statistics.causes/>

<h2>Latencies of what was served</h2>
<table>
<tr><th>request class</th><th>served</th><th>median ms</th><th>p99 ms</th><th>max ms</th><th>within the latency objective</th></tr>
<#list statistics.latencies as t>
<tr><td>${t.requestClass}</td><td>${t.count}</td><td>${t.median}</td><td>${t.p99}</td><td>${t.max}</td><td>${t.withinObjective}</td></tr>
</#list>
</table>

<#if (violations?size > 0)>
<h2 class="bad">Violations<#if (violationCount > violations?size)>, the first ${violations?size}</#if></h2>
<#list violations as v>
<p><b>${v.rule}</b>: request ${v.request}, ${v.at} s. ${v.description}</p>
<pre><#list v.lines as l>${l}
</#list></pre>
</#list>
</#if>

<h2>Faults</h2>
<table>
<tr><th>what</th><th>from s</th><th>until s</th><th>excuses no answer by</th></tr>
<#list faults as f><tr><td>${f.description}</td><td>${f.from}</td><td>${f.until}</td><td>${f.hosts}</td></tr></#list>
</table>
<#list restarts as r><p>${r}</p></#list>
<h2>To be run again</h2>
<pre>${schedule}</pre>
</body>
</html>
