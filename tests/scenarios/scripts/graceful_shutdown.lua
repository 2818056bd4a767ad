-- SIGTERM under load: the entry turns unready, hands its racks over, and every
-- caller that waits there gets its answer before the process ends with 0.
local entries = start_cell()
local later = {}
for i = 1, 12 do
  later[#later + 1] = submit_later("entry-0", {run_ms = 300 + 100 * i, payload = "s" .. i, repeatable = false}, 20000)
end
eventually("they run", function()
  local n = 0
  for _, event in ipairs(history()) do if event.event == "start" then n = n + 1 end end
  return n >= 6
end)
signal("entry-0", "TERM")
eventually("unready for the balancer", function() return not ready("entry-0") end)
for _, l in ipairs(later) do
  local status, body = collect(l)
  expect("answered whole, got " .. status .. " " .. tostring(body and body.reason), status == 200 and body.verdict == "done")
end
expect("exit code 0", wait("entry-0") == 0)
eventually("racks are with the others", function() return total_attached({"entry-1", "entry-2"}) >= 6 end)
verify()
