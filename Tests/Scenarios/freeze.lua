-- Schedulers, config processes and routers are frozen past every lease, over
-- a drain, and thaw with what they had received before.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 6, run = 8000 }
run(1500)
freeze("a-s0") freeze("a-s1") freeze("a-c") freeze("a-r")
run(500 + random(3000))
drain("a")
run(6000)
submit { name = "late", at = "b", tasks = 4, run = 2000 }
thaw("a-c")
run(random(300))
thaw("a-s1") thaw("a-s0") thaw("a-r")
for _ = 1, 40 do request("a", "web") request("b", "web") run(200) end
expect(running("a", "batch") == 0, "the drained data centre is empty")
restore("a")
run(1000)
common.settle({ "job", "late" })
common.completed_once("late", 4)
expect(served() >= 40, "requests were served, found " .. served())
