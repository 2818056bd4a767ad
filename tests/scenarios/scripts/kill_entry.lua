-- kill -9 of an entry while its requests run: the tasks continue at the
-- upstreams, another entry takes the racks over before the leases end, and each
-- caller gets its complete answer by id from a remaining entry. Guards against
-- answers that are lost or truncated, and against tasks that run twice.
local entries = start_cluster()
local ids = {}
for i = 1, 6 do
  local _, body = submit("entry-0", {key = "render-" .. i, run_ms = 4000, repeatable = false, payload = "proof " .. i}, 0)
  ids[i] = body.id
end
eventually("all run", function()
  local n = 0
  for i = 1, 6 do n = n + starts_of(ids[i]) end
  return n == 6
end)
signal("entry-0", "KILL")
eventually("racks are taken over", function() return total_attached({"entry-1", "entry-2"}) >= 6 end)
for i = 1, 6 do
  local status, body = outcome("entry-" .. (1 + i % 2), ids[i], 20000)
  expect("complete answer of " .. ids[i] .. ", got " .. status .. " " .. tostring(body.reason), status == 200 and body.verdict == "done")
  remember(request({key = ids[i], repeatable = false, payload = "proof " .. i}), status, body)
  expect("one run", starts_of(ids[i]) == 1)
end
-- Submitting the same key again finds the earlier run and starts no other.
local status = submit("entry-1", {key = "render-1", run_ms = 4000, repeatable = false, payload = "proof 1"}, 15000)
expect("one run after the second submission", starts_of("render-1") == 1)
restart("entry-0")
eventually("entry-0 is back with racks", function() return attached("entry-0") > 0 end)
local back = submit("entry-0", {})
expect("served by the new process", back == 200)
verify()
