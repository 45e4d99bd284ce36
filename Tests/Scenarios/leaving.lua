-- Workers leave by the platform's list: no new requests after 3 s, services
-- are replaced, batch tasks resume once from their checkpoints.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 8, run = 15000, cpu = 3000 }
run_until(6000, function() return running("a", "batch") == 8 end)
run(random(3000))
worker("a-w" .. random(4) - 1, "leave")
for _ = 1, 50 do request("a", "web") request("a", "store") run(200) end
expect(running("a", "service") == 4, "replicas are replaced")
common.settle({ "job" })
common.completed_once("job", 8)
expect(served() >= 90, "requests were served, found " .. served())
