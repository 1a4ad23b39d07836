/** @file timeline_page.cc Makes the self-contained page of a time line. */
#include <nlohmann/json.hpp>

#include "cli/timeline_cmd.h"
#include "state/event_func.h"
#include "state/timeline_codec.h"

namespace gv {
namespace {

constexpr std::string_view kHead = R"page(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gooseberryvale time line</title>
<style>
body { font: 14px sans-serif; margin: 0; color: #222; }
header { padding: 8px 12px; border-bottom: 1px solid #ccc; }
#lanes { overflow-x: auto; margin-bottom: 9em; }
text { font: 12px sans-serif; }
circle { cursor: pointer; stroke: #fff; }
.debug { fill: #9aa7b4; } .info { fill: #2f6fb2; }
.warning { fill: #d98200; } .error { fill: #c0262d; }
.dim { opacity: 0.12; }
#detail { position: fixed; bottom: 0; left: 0; right: 0; min-height: 7em; padding: 8px 12px;
  background: #f6f6f6; border-top: 1px solid #ccc; white-space: pre-wrap; }
</style></head><body>
<header><b>Time line</b> <span id="sum"></span>
 <label>Find <input id="find" placeholder="request, team, target, name"></label>
 <label><input id="scale" type="checkbox"> space by wall time</label>
 <span><svg width="330" height="14"><circle cx="8" cy="7" r="5" class="debug"/><text x="18" y="11">debug</text>
 <circle cx="88" cy="7" r="5" class="info"/><text x="98" y="11">info</text>
 <circle cx="158" cy="7" r="5" class="warning"/><text x="168" y="11">warning</text>
 <circle cx="248" cy="7" r="5" class="error"/><text x="258" y="11">error</text></svg></span>
</header><div id="lanes"></div><div id="detail">Point at an event to read it; click to mark its request.</div>
<script>const events = )page";

constexpr std::string_view kTail = R"page(;
const SVG = 'http://www.w3.org/2000/svg', LANE = 44, LEFT = 150, STEP = 16;
const nodes = [...new Set(events.map(e => e.node))].sort();
const byId = id => document.getElementById(id);
let marked = null;
function make(parent, name, attributes, text) {
  const item = document.createElementNS(SVG, name);
  for (const key in attributes) item.setAttribute(key, attributes[key]);
  if (text !== undefined) item.textContent = text;
  return parent.appendChild(item);
}
function clock(e) { return new Date(e.wall_ms).toISOString() + ' +' + e.counter; }
function describe(e) {
  const skip = new Set(['node', 'wall_ms', 'counter', 'event', 'name', 'level', 'meaning']);
  const rest = Object.keys(e).filter(k => !skip.has(k)).map(k => k + ': ' + e[k]).join('\n');
  return e.event + ' ' + e.name + ' (' + e.level + ')  ' + e.node + '  ' + clock(e) + '\n' + e.meaning + '\n' + rest;
}
function wanted(e) {
  const text = byId('find').value.trim();
  if (marked && e.request !== marked) return false;
  return !text || JSON.stringify(e).includes(text);
}
function place(i) {
  if (!byId('scale').checked) return LEFT + 20 + i * STEP;
  const first = events[0].wall_ms, span = Math.max(1, events[events.length - 1].wall_ms - first);
  return LEFT + 20 + (events[i].wall_ms - first) / span * Math.max(800, events.length * STEP / 2);
}
function draw() {
  const old = byId('lanes');
  old.textContent = '';
  if (!events.length) return;
  const svg = make(old, 'svg', { width: place(events.length - 1) + 60, height: LANE * nodes.length + 30 });
  nodes.forEach((node, lane) => {
    const y = lane * LANE + 28;
    make(svg, 'line', { x1: LEFT, x2: place(events.length - 1) + 40, y1: y, y2: y, stroke: '#ccc' });
    make(svg, 'text', { x: 8, y: y + 4 }, node);
  });
  let before = null;
  events.forEach((e, i) => {
    const x = place(i), y = nodes.indexOf(e.node) * LANE + 28;
    if (marked && e.request === marked) {
      if (before) make(svg, 'line', { x1: before[0], y1: before[1], x2: x, y2: y, stroke: '#2f6fb2' });
      before = [x, y];
    }
    const dot = make(svg, 'circle', { cx: x, cy: y, r: 6, class: e.level + (wanted(e) ? '' : ' dim') });
    make(dot, 'title', {}, describe(e));
    dot.onmouseenter = () => { byId('detail').textContent = describe(e); };
    dot.onclick = () => { marked = e.request && marked !== e.request ? e.request : null; draw(); };
  });
  byId('sum').textContent = events.length + ' events of ' + nodes.length + ' processes, ' +
    clock(events[0]) + ' to ' + clock(events[events.length - 1]);
}
byId('find').oninput = draw;
byId('scale').onchange = draw;
draw();
</script></body></html>
)page";

/** @return JSON that is safe inside a script element. */
std::string ScriptSafe(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    if (c == '<') {
      safe += "\\u003c";
    } else {
      safe += c;
    }
  }
  return safe;
}

nlohmann::json PageRow(const Event& event) {
  nlohmann::json row = nlohmann::json::parse(EventToLine(event));
  const EventRow* entry = FindEventRow(event.id_);
  row["level"] =
      EventLevelName(entry == nullptr ? EventLevel::kInfo : entry->level_);
  row["meaning"] = entry == nullptr ? std::string_view() : entry->meaning_;
  return row;
}

}  // namespace

std::string TimelinePage(const std::vector<Event>& events) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Event& event : events) {
    rows.push_back(PageRow(event));
  }
  std::string page(kHead);
  page += ScriptSafe(rows.dump());
  page += kTail;
  return page;
}

}  // namespace gv
