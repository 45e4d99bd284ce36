-- The path without faults: services run, a job submitted twice runs once.
local common = require("common")
common.two_data_centres()
submit { name = "job", at = "a", tasks = 6 }
submit { name = "job", at = "b", tasks = 6 }
common.settle({ "job" })
common.completed_once("job", 6)
expect(answer("job") == "accepted" or answer("job") == "ok",
  "the submitter is told, found " .. answer("job"))
