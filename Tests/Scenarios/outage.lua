-- The store is down for a minute, or slow. Services and requests go on,
-- tasks keep their leases, and starts resume within 10 s of its return.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 6, run = 45000 }
run_until(6000, function() return running("a", "batch") == 6 end)
if random(2) == 1 then store { down = true } else store { delay = 900 } end
submit { name = "during", at = "b", tasks = 3, run = 1000 }
for _ = 1, 60 do
  request("a", "web") request("b", "store")
  run(1000)
  expect(running("a", "service") + running("b", "service") == 8,
    "services outlast the outage")
end
expect(running("a", "batch") + completions("job") == 6,
  "batch tasks outlast the outage")
store {}
submit { name = "after", at = "a", tasks = 1, run = 500 }
local resumed = run_until(20000, function()
  return job_state("after") == "done" end)
expect(resumed, "work starts again after the outage")
common.settle({ "job", "during", "after" })
common.completed_once("job", 6)
common.completed_once("during", 3)
expect(served() >= 100, "requests were served, found " .. served())
