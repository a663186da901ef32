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
<p>${about} Seed ${seed}, ${rate} RPCs a second wanted.</p>
<#if breachCount == 0>
<p class="good">No rule broken.</p>
<#else>
<p class="bad">${breachCount} breaches.</p>
</#if>

<#if figures.agreement?has_content>
<p>${figures.agreement}.</p>
</#if>

<#assign w = 900, h = 260, left = 45, n = figures.seconds?size>
<#assign top = 1>
<#list figures.seconds as s><#if (s.all > top)><#assign top = s.all></#if></#list>
<#function x second><#return left + second * (w - left) / n></#function>
<#function y count><#return h - count * (h - 20) / top></#function>
<#macro line field colour>
<polyline fill="none" stroke="${colour}" stroke-width="1.6" points="<#list figures.seconds as s>${x(s?index + 0.5)},${y(s[field])} </#list>"/>
</#macro>
<h2>By second</h2>
<svg viewBox="0 0 ${w} ${h + 45}" width="100%" role="img" aria-label="RPCs by second and what became of them">
<#list troubles as t>
<#assign from = x(t.from), until = x((t.until > n)?then(n, t.until))>
<rect x="${from}" y="0" width="${(until - from > 1)?then(until - from, 1)}" height="${h}" fill="#c60" opacity="0.10"/>
<text x="${from + 2}" y="${12 + (t?index % 6) * 13}" font-size="10" fill="#964b00">${t.what}</text>
</#list>
<line x1="${left}" y1="${h}" x2="${w}" y2="${h}" stroke="#888"/>
<line x1="${left}" y1="0" x2="${left}" y2="${h}" stroke="#888"/>
<text x="2" y="${y(top) + 8}" font-size="11">${top}</text>
<text x="2" y="${h}" font-size="11">0</text>
<#list 0..n as s><#if s % 5 == 0><text x="${x(s)}" y="${h + 14}" font-size="11" text-anchor="middle">${s} s</text></#if></#list>
<@line field="served" colour="#12701c"/>
<@line field="pushedBack" colour="#1f5fbf"/>
<@line field="aborted" colour="#8a2be2"/>
<@line field="lost" colour="#b00020"/>
<g font-size="12">
<text x="${left}" y="${h + 36}" fill="#12701c">served</text>
<text x="${left + 70}" y="${h + 36}" fill="#1f5fbf">pushed back</text>
<text x="${left + 165}" y="${h + 36}" fill="#8a2be2">aborted</text>
<text x="${left + 235}" y="${h + 36}" fill="#b00020">lost</text>
<text x="${left + 280}" y="${h + 36}" fill="#964b00">shaded: trouble, until 3 s after it was healed</text>
</g>
</svg>

<#macro counts title rows>
<table>
<tr><th>${title}</th><th>RPCs</th><th>served</th><th>pushed back</th><th>aborted</th><th>lost</th></tr>
<#list rows as key, c>
<tr><td>${key}</td><td>${c.all}</td><td>${c.served}</td><td>${c.pushedBack}</td><td>${c.aborted}</td><td>${c.lost}</td></tr>
</#list>
</table>
</#macro>
<h2>By gateway</h2>
<@counts title="gateway" rows=figures.gateways/>
<h2>What was not served, by what was near</h2>
<@counts title="near" rows=figures.causes/>

<h2>Times of what was served</h2>
<table>
<tr><th>method</th><th>served</th><th>median ms</th><th>p99 ms</th><th>worst ms</th><th>within the soft deadline</th></tr>
<#list figures.times as t>
<tr><td>${t.method}</td><td>${t.count}</td><td>${t.median}</td><td>${t.p99}</td><td>${t.worst}</td><td>${t.inSoft}</td></tr>
</#list>
</table>

<#if (breaches?size > 0)>
<h2 class="bad">Breaches<#if (breachCount > breaches?size)>, the first ${breaches?size}</#if></h2>
<#list breaches as b>
<p><b>${b.rule}</b>: RPC ${b.rpc}, ${b.at} s. ${b.what}</p>
<pre><#list b.lines as l>${l}
</#list></pre>
</#list>
</#if>

<h2>Troubles</h2>
<table>
<tr><th>what</th><th>from s</th><th>until s</th><th>excuses no answer by</th></tr>
<#list troubles as t><tr><td>${t.what}</td><td>${t.from}</td><td>${t.until}</td><td>${t.hosts}</td></tr></#list>
</table>
<#list ready as r><p>${r}</p></#list>
<h2>To be played again</h2>
<pre>${schedule}</pre>
</body>
</html>
