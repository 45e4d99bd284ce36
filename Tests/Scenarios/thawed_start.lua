-- An owner is frozen between the journal's answer and the start, its shard is
-- taken over and the tasks go elsewhere: when it thaws, it starts nothing.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 12, run = 15000, cpu = 3000 }
run(random(140))
local n = owner("a-0")
freeze(n)
worker("a-w0", "leave")
run(6000 + random(2000))
thaw(n)
run(3000)
common.settle({ "job" })
common.completed_once("job", 12)
