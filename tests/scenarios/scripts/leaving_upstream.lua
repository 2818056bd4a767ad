-- Two upstreams are listed as leaving, and the list is delivered late. After a
-- few seconds they must get no new work, whichever entry the requests come
-- through. Guards against tasks that are started there later, and against
-- running tasks that are not left to complete.
local entries = start_cluster()
list_change({lag_ms = 500})
local _, long = submit("entry-0", {run_ms = 3000}, 0)
list_change({leaving = "up-0-0"})
list_change({leaving = "up-0-1"})
sleep_ms(2500)
local bound = now_ms()
for i = 1, 30 do
  expect("served elsewhere", submit(entries[1 + i % 3], {run_ms = 20}) == 200)
end
for _, event in ipairs(history()) do
  if event.event == "start" and event.t > bound then
    expect("no start on a leaving upstream", event.upstream ~= "up-0-0" and event.upstream ~= "up-0-1")
  end
end
expect("the task that ran there completed", outcome("entry-0", long.id, 10000) == 200)
verify()
