-- An entry is paused for longer than every limit and resumes while it still
-- considers itself in control of its racks. Other entries have attached with
-- higher terms meanwhile. Guards against upstreams that accept calls of the
-- paused entry, so that tasks run twice or upstreams are overcommitted.
local entries = start_cluster()
local pending = {}
for i = 1, 8 do
  pending[#pending + 1] = submit_async("entry-1", {key = "frozen-" .. i, run_ms = 2500, repeatable = false, payload = "f" .. i}, 30000)
end
eventually("some run", function() return starts_of("frozen-1") == 1 end)
signal("entry-1", "STOP")
eventually("racks are taken over", function() return total_attached({"entry-0", "entry-2"}) >= 6 end)
for i = 1, 8 do submit("entry-0", {run_ms = 100, payload = "meanwhile " .. i}) end
signal("entry-1", "CONT")
for _, submission in ipairs(pending) do collect(submission) end
eventually("entry-1 has racks again", function() return attached("entry-1") > 0 end)
for i = 1, 8 do expect("at most one run", starts_of("frozen-" .. i) <= 1) end
expect("entry-1 serves", submit("entry-1", {}) == 200)
verify()
