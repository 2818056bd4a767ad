-- Replies are lost after their effect: appends to the log and starts at the
-- upstreams work, but nobody hears of it. A start is settled by attaching with
-- a higher term and reading the inventory, never by starting again.
local entries = start_cell()
for round = 1, 4 do
  for rack = 0, 2 do upstream_fault("rack-" .. rack, {drop_start_replies = 2}) end
  log_fault({drop_append_replies = 2})
  local later = {}
  for i = 1, 6 do
    later[#later + 1] = submit_later(entries[1 + i % 3], {key = "lost-" .. round .. "-" .. i, repeatable = false, run_ms = 200}, 40000)
  end
  for _, l in ipairs(later) do
    local status, body = collect(l)
    expect("done, got " .. status .. " " .. tostring(body.reason or body.why), status == 200)
    expect("one run", starts_of(body.id) == 1)
  end
end
verify()
