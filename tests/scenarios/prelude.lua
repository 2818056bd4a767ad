-- Helper functions of the scenario scripts.

LIMIT_MS = 60000

RULES = [[{"rules": [
  {"name": "urgent", "when": {"urgent": true}, "then": {"priority": 0, "wait_limit_s": 60, "preempt": true}},
  {"name": "others", "then": {"priority": 4, "wait_limit_s": 120, "retries": 3}}]}]]

-- Waits until `condition` returns a true value and returns it. The default limit
-- is long enough for slow machines.
function eventually(what, condition, limit_ms)
  local deadline = now_ms() + (limit_ms or LIMIT_MS)
  while now_ms() < deadline do
    local value = condition()
    if value then return value end
    sleep_ms(20)
  end
  error("timed out waiting until " .. what, 2)
end

function expect(what, condition)
  if not condition then error("expectation failed: " .. what, 2) end
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

-- Returns the number of upstreams that the entry has attached.
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

-- Starts a cluster and waits until every entry is ready and all upstreams are
-- attached.
function start_cluster(options)
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

function submit_async(entry, fields, wait_ms)
  local req = request(fields)
  return {request = req, handle = http_async(entry, "POST", "/v1/requests?wait_ms=" .. (wait_ms or 20000), req)}
end

function collect(pending)
  local status, body = result(pending.handle)
  remember(pending.request, status, body)
  return status, body
end

function remember(req, status, body)
  if type(body) ~= "table" or not body.id then return end
  replies[#replies + 1] = {id = body.id, request = req, verdict = body.verdict, answer = body.answer, digest = body.digest}
end

-- Checks all recorded replies against the histories of the fake upstreams.
function verify(cores, slots)
  local violations = check_invariants(replies, cores or 4, slots or 4)
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

-- Queries the outcome of request `id` at `entry`.
function outcome(entry, id, wait_ms)
  return http(entry, "GET", "/v1/requests/" .. id .. "?wait_ms=" .. (wait_ms or 0))
end
