-- Cancels many waiting and running requests at once, each twice. Guards against
-- a cancelled waiting request that runs all the same, and against a second
-- cancellation that changes the outcome.
local entries = start_cluster()
local ids = {}
for i = 1, 60 do
  local _, body = submit("entry-0", {run_ms = 1500, cores = 2, team = "wave", payload = "c" .. i}, 0)
  ids[#ids + 1] = body.id
end
local waiting = {}
local _, queue = http("entry-0", "GET", "/v1/requests")
for _, r in ipairs(queue.requests) do if r.state == "waiting" then waiting[r.id] = true end end
for _ = 1, 2 do http("entry-0", "POST", "/v1/cancel", {team = "wave"}) end
local never = 0
for _, id in ipairs(ids) do
  local status, body = outcome("entry-1", id, 15000)
  expect("cancelled or done, got " .. status, status == 410 or status == 200)
  if waiting[id] and status == 410 and body.reason:find("not run") then
    never = never + 1
    expect("never started: " .. id, starts_of(id) == 0)
  end
end
expect("some were cancelled while waiting", never > 0)
expect("the cluster serves", submit("entry-2", {}) == 200)
verify()
