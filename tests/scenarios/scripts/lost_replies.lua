-- Appends to the log and starts at the upstreams take effect, but their replies
-- are lost. The outcome of a start is resolved by attaching with a higher term
-- and reading the inventory. Guards against resolving it by a second start, so
-- that a task that may not be repeated runs twice.
local entries = start_cluster()
for round = 1, 4 do
  for rack = 0, 2 do upstream_fault("rack-" .. rack, {drop_start_replies = 2}) end
  log_fault({drop_append_replies = 2})
  local pending = {}
  for i = 1, 6 do
    pending[#pending + 1] = submit_async(entries[1 + i % 3], {key = "lost-" .. round .. "-" .. i, repeatable = false, run_ms = 200}, 40000)
  end
  for _, submission in ipairs(pending) do
    local status, body = collect(submission)
    expect("done, got " .. status .. " " .. tostring(body.reason or body.why), status == 200)
    expect("one run", starts_of(body.id) == 1)
  end
end
verify()
