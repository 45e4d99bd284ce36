-- A data centre is cut from the platform, from the other one, or from both.
-- What runs goes on, and everything is mended afterwards.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 6, run = 25000 }
run_until(6000, function() return running("a", "batch") == 6 end)
local which = random(3)
if which ~= 2 then cut("a", "platform") end
if which ~= 1 then cut("a", "b") end
for _ = 1, 60 do
  request("a", "web")
  run(500)
  expect(running("a", "service") == 4, "services go on while cut off")
end
expect(running("a", "batch") + completions("job") == 6, "batch work goes on")
submit { name = "after", at = "a", tasks = 2, run = 1000 }
heal()
run(5000)
expect(revision("a-s0") == revision("b-s0"), "one revision after the cut")
common.settle({ "job", "after" })
common.completed_once("job", 6)
expect(served() >= 50, "requests were served, found " .. served())
