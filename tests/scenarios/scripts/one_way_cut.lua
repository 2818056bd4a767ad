-- Nobody can reach entry-2, but it reaches everybody: its own view says that
-- all is well. The others take its racks over; whoever holds an upstream is
-- settled by the upstream's term, and no request runs twice.
local entries = start_cell()
local later = {}
cut("entry-2", true)
for i = 1, 12 do
  later[#later + 1] = submit_later(entries[1 + i % 3], {key = "cut-" .. i, run_ms = 300, repeatable = false}, 30000)
end
local done = 0
for _, l in ipairs(later) do
  local status, body = collect(l)
  if status == 200 then done = done + 1 else print(now_ms(), status, body and body.id, body and body.verdict, body and (body.reason or body.why)) end
end
expect("entries that are reached serve", done >= 6)
cut("entry-2", false)
eventually("entry-2 serves again", function() return submit("entry-2", {}) == 200 end)
for i = 1, 12 do expect("at most one run", starts_of("cut-" .. i) <= 1) end
verify()
