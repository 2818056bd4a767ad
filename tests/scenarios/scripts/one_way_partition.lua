-- A one-way partition: no process can reach entry-2, but entry-2 reaches all
-- others and sees no fault in its own view. The other entries take its racks
-- over; the term at each upstream decides which entry controls it. Guards
-- against requests that run twice.
local entries = start_cluster()
local pending = {}
block_inbound("entry-2", true)
for i = 1, 12 do
  pending[#pending + 1] = submit_async(entries[1 + i % 3], {key = "cut-" .. i, run_ms = 300, repeatable = false}, 30000)
end
local done = 0
for _, submission in ipairs(pending) do
  local status, body = collect(submission)
  if status == 200 then done = done + 1 else print(now_ms(), status, body and body.id, body and body.verdict, body and (body.reason or body.why)) end
end
expect("reachable entries serve", done >= 6)
block_inbound("entry-2", false)
eventually("entry-2 serves again", function() return submit("entry-2", {}) == 200 end)
for i = 1, 12 do expect("at most one run", starts_of("cut-" .. i) <= 1) end
verify()
