-- SIGTERM under load: the entry becomes unready and hands its racks over.
-- Guards against a process that ends with an error, or before every waiting
-- caller has its answer.
local entries = start_cluster()
local pending = {}
for i = 1, 12 do
  pending[#pending + 1] = submit_async("entry-0", {run_ms = 300 + 100 * i, payload = "s" .. i, repeatable = false}, 20000)
end
-- Requests that the entry has not read when SIGTERM arrives may be refused; only
-- accepted requests are guaranteed an answer. So wait until all are accepted.
eventually("all are accepted, and some run", function()
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
  return count == #pending and started >= 6
end)
signal("entry-0", "TERM")
eventually("unready for the balancer", function() return not ready("entry-0") end)
for _, submission in ipairs(pending) do
  local status, body = collect(submission)
  expect("answered completely, got " .. status .. " " .. tostring(body and body.reason), status == 200 and body.verdict == "done")
end
expect("exit code 0", wait("entry-0") == 0)
eventually("the other entries control all racks", function() return total_attached({"entry-1", "entry-2"}) >= 6 end)
verify()
