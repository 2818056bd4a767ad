-- The log keeps records for two seconds only. The configuration is appended
-- again before it expires, so that an entry which starts much later still
-- finds it, also when every other entry is new as well, and never an old one.
local entries = start_cell({retention_ms = 4000, settings = {checkpoint_ms = 800}})
expect("second revision", publish("entry-0", RULES .. "// two", 1) == 200)
sleep_ms(9000)
for _, e in ipairs(entries) do
  restart(e)
  eventually(e .. " has revision 2 again", function() return revision(e) == 2 end)
end
expect("third revision", publish("entry-1", RULES .. "// three", 2) == 200)
eventually("in force everywhere", function()
  for _, e in ipairs(entries) do if revision(e) ~= 3 then return false end end
  return true
end)
