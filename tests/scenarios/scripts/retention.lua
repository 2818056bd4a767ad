-- The log keeps records for 4 s only. The configuration is appended
-- again before it expires. Guards against an entry that starts much later and
-- finds no configuration or an old one, also after all entries have restarted.
local entries = start_cluster({retention_ms = 4000, settings = {checkpoint_ms = 800}})
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
