-- Functions that the scenarios are written with.

LIMIT_MS = 60000

RULES = [[{"rules": [
  {"name": "urgent", "when": {"urgent": true}, "then": {"priority": 0, "wait_limit_s": 60, "preempt": true}},
  {"name": "others", "then": {"priority": 4, "wait_limit_s": 120, "retries": 3}}]}]]

-- Waits until `state` returns a true value and returns it. The limit is
-- generous, for slow machines.
function eventually(what, state, limit)
  local until_ms = now_ms() + (limit or LIMIT_MS)
  while now_ms() < until_ms do
    local value = state()
    if value then return value end
    sleep_ms(20)
  end
  error("timed out waiting until " .. what, 2)
end

function expect(what, holds)
  if not holds then error("expectation failed: " .. what, 2) end
end

function publish(entry, text, base)
  return http(entry, "POST", "/v1/rules", {author = "scenario", base = base, text = text})
end

function revision(entry)
  local status, body = http(entry, "GET", "/v1/rules")
  return status == 200 and body.revision or -1
end

function ready(entry)
  local status = http(entry, "GET", "/readyz")
  return status == 200
end

-- The number of upstreams that the entry has attached.
function attached(entry)
  local status, body = http(entry, "GET", "/v1/upstreams")
  if status ~= 200 then return 0 end
  local count = 0
  for _, up in ipairs(body.upstreams) do
    if up.phase == "ready" then count = count + 1 end
  end
  return count
end

function total_attached(entries)
  local sum = 0
  for _, entry in ipairs(entries) do sum = sum + attached(entry) end
  return sum
end

-- Starts a cell and waits until every entry is ready and all upstreams are
-- attached.
function start_cell(options)
  options = options or {}
  start(options)
  local entries = {}
  for i = 0, (options.entries or 3) - 1 do entries[#entries + 1] = "entry-" .. i end
  eventually("entries answer", function()
    for _, e in ipairs(entries) do
      if http(e, "GET", "/healthz") ~= 200 then return false end
    end
    return true
  end)
  eventually("rules are published", function()
    publish(entries[1], RULES, 0)
    return revision(entries[1]) >= 1
  end)
  local upstreams = (options.racks or 3) * (options.upstreams_per_rack or 2)
  eventually("all ready and attached", function()
    for _, e in ipairs(entries) do
      if not ready(e) then return false end
    end
    return total_attached(entries) >= upstreams
  end)
  return entries
end

-- The replies to submissions, recorded for verify().
replies = {}
function request(fields)
  local out = {team = "team", work = "work", payload = "p", run_ms = 50, memory_mb = 100, repeatable = true}
  for k, v in pairs(fields or {}) do out[k] = v end
  return out
end

function submit(entry, fields, wait_ms)
  local req = request(fields)
  local status, body = http(entry, "POST", "/v1/requests?wait_ms=" .. (wait_ms or 20000), req)
  remember(req, status, body)
  return status, body
end

function submit_later(entry, fields, wait_ms)
  local req = request(fields)
  return {request = req, handle = http_later(entry, "POST", "/v1/requests?wait_ms=" .. (wait_ms or 20000), req)}
end

function collect(later)
  local status, body = result(later.handle)
  remember(later.request, status, body)
  return status, body
end

function remember(req, status, body)
  if type(body) ~= "table" or not body.id then return end
  replies[#replies + 1] = {id = body.id, request = req, verdict = body.verdict, answer = body.answer, digest = body.digest}
end

-- Checks all recorded replies against the histories of the upstreams.
function verify(cores, slots)
  local violations = broken_promises(replies, cores or 4, slots or 4)
  if #violations > 0 then error("violations: " .. table.concat(violations, "; "), 2) end
end

function starts_of(id)
  local count = 0
  for _, event in ipairs(history()) do
    if event.event == "start" and event.request == id then count = count + 1 end
  end
  return count
end

function log_fault(fields) http("platform", "POST", "/fault/log", fields) end
function list_change(fields) http("platform", "POST", "/list", fields) end
function upstream_fault(rack, fields) http(rack, "POST", "/fault/upstream", fields) end

-- The outcome of request `id`, queried at `entry`.
function outcome(entry, id, wait_ms)
  return http(entry, "GET", "/v1/requests/" .. id .. "?wait_ms=" .. (wait_ms or 0))
end
