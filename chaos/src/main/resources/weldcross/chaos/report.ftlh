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
<p>${about} Seed ${seed}, target rate ${rate} requests per second.</p>
<#if violationCount == 0>
<p class="good">No rule broken.</p>
<#else>
<p class="bad">${violationCount} violations.</p>
</#if>

<#if statistics.consensus?has_content>
<p>${statistics.consensus}.</p>
</#if>

<#assign width = 900, height = 260, left = 45, seconds = statistics.seconds?size>
<#assign top = 1>
<#list statistics.seconds as second><#if (second.all > top)><#assign top = second.all></#if></#list>
<#function x second><#return left + second * (width - left) / seconds></#function>
<#function y count><#return height - count * (height - 20) / top></#function>
<#macro line field colour>
<polyline fill="none" stroke="${colour}" stroke-width="1.6" points="<#list statistics.seconds as second>${x(second?index + 0.5)},${y(second[field])} </#list>"/>
</#macro>
<h2>By second</h2>
<svg viewBox="0 0 ${width} ${height + 45}" width="100%" role="img" aria-label="requests by second and outcome">
<#list faults as fault>
<#assign from = x(fault.from), until = x((fault.until > seconds)?then(seconds, fault.until))>
<rect x="${from}" y="0" width="${(until - from > 1)?then(until - from, 1)}" height="${height}" fill="#c60" opacity="0.10"/>
<text x="${from + 2}" y="${12 + (fault?index % 6) * 13}" font-size="10" fill="#964b00">${fault.description}</text>
</#list>
<line x1="${left}" y1="${height}" x2="${width}" y2="${height}" stroke="#888"/>
<line x1="${left}" y1="0" x2="${left}" y2="${height}" stroke="#888"/>
<text x="2" y="${y(top) + 8}" font-size="11">${top}</text>
<text x="2" y="${height}" font-size="11">0</text>
<#list 0..seconds as second><#if second % 5 == 0><text x="${x(second)}" y="${height + 14}" font-size="11" text-anchor="middle">${second} s</text></#if></#list>
<@line field="served" colour="#12701c"/>
<@line field="rejected" colour="#1f5fbf"/>
<@line field="failed" colour="#8a2be2"/>
<@line field="lost" colour="#b00020"/>
<g font-size="12">
<text x="${left}" y="${height + 36}" fill="#12701c">served</text>
<text x="${left + 70}" y="${height + 36}" fill="#1f5fbf">rejected</text>
<text x="${left + 165}" y="${height + 36}" fill="#8a2be2">failed</text>
<text x="${left + 235}" y="${height + 36}" fill="#b00020">lost</text>
<text x="${left + 280}" y="${height + 36}" fill="#964b00">shaded: fault, including 3 s of recovery after healing</text>
</g>
</svg>

<#macro outcomeTable title rows>
<table>
<tr><th>${title}</th><th>requests</th><th>served</th><th>rejected</th><th>failed</th><th>lost</th></tr>
<#list rows as key, counts>
<tr><td>${key}</td><td>${counts.all}</td><td>${counts.served}</td><td>${counts.rejected}</td><td>${counts.failed}</td><td>${counts.lost}</td></tr>
</#list>
</table>
</#macro>
<h2>By gateway</h2>
<@outcomeTable title="gateway" rows=statistics.gateways/>
<h2>Requests not served, by likely cause</h2>
<@outcomeTable title="likely cause" rows=statistics.causes/>

<h2>Latencies of served requests</h2>
<table>
<tr><th>request class</th><th>served</th><th>median ms</th><th>p99 ms</th><th>max ms</th><th>within the latency objective</th></tr>
<#list statistics.latencies as latency>
<tr><td>${latency.requestClass}</td><td>${latency.count}</td><td>${latency.median}</td><td>${latency.p99}</td><td>${latency.max}</td><td>${latency.withinObjective}</td></tr>
</#list>
</table>

<#if (violations?size > 0)>
<h2 class="bad">Violations<#if (violationCount > violations?size)>, the first ${violations?size}</#if></h2>
<#list violations as violation>
<p><b>${violation.rule}</b>: request ${violation.request}, ${violation.at} s. ${violation.description}</p>
<pre><#list violation.lines as line>${line}
</#list></pre>
</#list>
</#if>

<h2>Faults</h2>
<table>
<tr><th>fault</th><th>from s</th><th>until s</th><th>gateways that may not answer</th></tr>
<#list faults as fault><tr><td>${fault.description}</td><td>${fault.from}</td><td>${fault.until}</td><td>${fault.hosts}</td></tr></#list>
</table>
<#list restarts as restart><p>${restart}</p></#list>
<h2>Scenario file to repeat this run</h2>
<pre>${schedule}</pre>
</body>
</html>
