-- SIGTERM under load: the entry turns unready, hands its racks over, and every
-- caller that waits there gets its answer before the process ends with 0.
local entries = start_cell()
local later = {}
for i = 1, 12 do
  later[#later + 1] = submit_later("entry-0", {run_ms = 300 + 100 * i, payload = "s" .. i, repeatable = false}, 20000)
end
-- What the entry had not read when it was told to leave is refused, as it may be;
-- the promise is for what it has taken.
eventually("all are taken, and some run", function()
  local taken, started = {}, 0
  local _, queue = http("entry-0", "GET", "/v1/requests")
  for _, r in ipairs(queue.requests) do taken[r.id] = true end
  for _, event in ipairs(history()) do
    if event.event == "start" then
      taken[event.request] = true
      started = started + 1
    end
  end
  local count = 0
  for _ in pairs(taken) do count = count + 1 end
  return count == #later and started >= 6
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
