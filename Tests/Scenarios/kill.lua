-- Any process is killed, also an owner in the middle of starts. Tasks go on,
-- a successor takes over within 8 s, everything is done once.
local common = require("common")
common.two_data_centres()
submit { name = "long", at = "a", tasks = 6, run = 12000 }
run_until(6000, function() return running("a", "batch") == 6 end)
local first = owner("a-0")
submit { name = "burst", at = "a", tasks = 5, run = 2000 }
run(random(120))
kill(first) kill("a-c") kill("b-r")
local before = running("a", "service")
local taken = run_until(8000, function()
  local now = owner("a-0") return now ~= "" and now ~= first end)
expect(taken, "another scheduler owns the shard within 8 s")
expect(running("a", "service") == before, "no service stopped")
start(first) start("a-c") start("b-r")
run(2000)
kill(owner("a-0"))
start("a-s0") start("a-s1")
run(3000)
for _, n in ipairs { "a-s0", "a-s1" } do start(n) end
common.settle({ "long", "burst" })
common.completed_once("long", 6)
common.completed_once("burst", 5)
