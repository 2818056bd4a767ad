-- A client submits the same key to two entries because the first answer is slow.
-- The first intent in the log owns the key; the other entry follows it. Guards
-- against different answers for one key and against a second run.
local entries = start_cluster()
local pending = {}
for i = 1, 10 do
  for _, entry in ipairs({entries[1 + i % 3], entries[1 + (i + 1) % 3]}) do
    pending[#pending + 1] = submit_async(entry, {work = "part-check", key = "part-" .. i, repeatable = false, run_ms = 100})
  end
end
local answers = {}
for _, submission in ipairs(pending) do
  local status, body = collect(submission)
  expect("done, got " .. status .. " " .. tostring(body.reason), status == 200 and body.verdict == "done")
  answers[body.id] = answers[body.id] or body.answer
  expect("the same answer for " .. body.id, answers[body.id] == body.answer)
end
for i = 1, 10 do expect("one run of part-" .. i, starts_of("part-" .. i) == 1) end
-- The same key for something else is refused.
local status = submit(entries[1], {work = "part-check", key = "part-1", payload = "another"})
expect("a key in use is refused", status == 422)
verify()
