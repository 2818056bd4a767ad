-- Operators publish at once through different entries, all based on the same
-- revision. The first record in the log wins; the others are refused with the
-- revision that is in force. Guards against entries that decide differently or
-- return to an older revision.
local entries = start_cluster()
local accepted = 0
for round = 1, 5 do
  local base = revision("entry-0")
  local pending = {}
  for i, e in ipairs(entries) do
    pending[i] = http_async(e, "POST", "/v1/rules", {author = "operator-" .. i, base = base, text = RULES .. "// " .. round .. "/" .. i})
  end
  local winners = 0
  for i = 1, #entries do
    local status, body = result(pending[i])
    if status == 200 then winners = winners + 1
    else
      expect("the refusal names the revision in force, got " .. status, status == 409 and body.verdict == "stale base" and body.revision == base + 1)
    end
  end
  expect("one winner", winners == 1)
  eventually("all have the winner", function()
    for _, e in ipairs(entries) do if revision(e) ~= base + 1 then return false end end
    return true
  end)
end
local _, first = http("entry-0", "GET", "/v1/rules")
for _, e in ipairs(entries) do
  local _, other = http(e, "GET", "/v1/rules")
  expect("the same text everywhere", other.text == first.text)
end
-- A malformed text is refused with all findings and their places.
local status, body = publish("entry-0", '{"rules": [{"name": "a", "when": {"colour": 1}, "then": {"priority": 99}}]}', 6)
expect("refused with findings", status == 422 and #body.findings >= 2)
