-- A rack fails with its tasks. Once the platform reports that the rack is
-- removed, repeatable tasks must run again elsewhere. Guards against tasks that
-- may not be repeated getting "not run" instead of "unknown", or running a
-- second time.
local entries = start_cluster()
local pending = {}
for i = 1, 8 do
  pending[#pending + 1] = submit_async(entries[1 + i % 3], {run_ms = 3000, payload = "d" .. i, repeatable = i % 2 == 0}, 60000)
end
eventually("all run", function()
  local n = 0
  for _, event in ipairs(history()) do if event.event == "start" then n = n + 1 end end
  return n >= 8
end)
local on_rack = {}
for _, event in ipairs(history()) do
  if event.event == "start" and event.upstream:sub(1, 5) == "up-1-" then on_rack[event.request] = true end
end
upstream_fault("rack-1", {die = true})
list_change({remove = "up-1-0"})
list_change({remove = "up-1-1"})
for i, submission in ipairs(pending) do
  local status, body = collect(submission)
  if i % 2 == 0 then
    expect("repeatable is done, got " .. status .. " " .. tostring(body.reason or body.why), status == 200)
  elseif on_rack[body.id] then
    expect("unknown, got " .. status .. " " .. tostring(body.why), status == 500 and body.verdict == "unknown")
    expect("one run", starts_of(body.id) == 1)
  end
end
verify()
