-- A data centre is drained and restored under requests: nothing starts there
-- after 3 s, no request is sent to it after 3 s, jobs resume elsewhere from
-- their checkpoints, and work comes back after the restore.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 6, run = 20000 }
run_until(6000, function() return running("a", "batch") == 6 end)
run(random(4000))
drain("a")
for _ = 1, 60 do
  request("a", "web") request("b", "web")
  run(200)
end
expect(running("a", "batch") == 0, "no batch task is left")
expect(running("a", "service") == 0, "no service is left")
expect(running("b", "service") == 8, "replacements run elsewhere")
expect(running("b", "batch") + completions("job") == 6,
  "the job goes on elsewhere")
restore("a")
local back = run_until(20000, function()
  return running("a", "service") == 4 and running("b", "service") == 4 end)
expect(back, "services come back")
common.settle({ "job" })
common.completed_once("job", 6)
expect(served() >= 60, "requests were served, found " .. served())
