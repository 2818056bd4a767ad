-- A long outage of the platform's log. Requests without a key are served. Those
-- with a caller's key get at once the answer that they did not run and when to
-- retry. A restarted entry fetches the configuration from its peers. A publish
-- is not confirmed, and is in force everywhere once the log is back.
local entries = start_cluster()
log_fault({down = true})
for i = 1, 6 do expect("served without the log", submit(entries[1 + i % 3], {payload = "n" .. i}) == 200) end
local before = now_ms()
local status, body = submit("entry-0", {key = "outage-1", repeatable = false})
expect("answered at once, not at the deadline", now_ms() - before < 15000)
expect("not run, with a time to retry", status == 503 and body.verdict == "not run" and body.retry_after_header ~= nil)
restart("entry-2")
eventually("entry-2 fetches the rules from its peers", function() return revision("entry-2") == 1 and ready("entry-2") end)
local publishing = http_async("entry-0", "POST", "/v1/rules", {author = "operator", base = 1, text = RULES .. "// two"})
sleep_ms(500)
log_fault({down = false})
result(publishing)
eventually("the publish is in force everywhere", function()
  for _, e in ipairs(entries) do if revision(e) ~= 2 then return false end end
  return true
end)
-- The key now runs, exactly once, also at another entry.
eventually("the key runs", function() return submit("entry-1", {key = "outage-1", repeatable = false}) == 200 end)
expect("one run", starts_of("outage-1") == 1)
verify()
