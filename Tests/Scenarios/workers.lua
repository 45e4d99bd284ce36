-- A worker that fails everything is quarantined; a job that fails everywhere
-- is told so and does not quarantine the fleet; a job that can't run at all
-- is refused at once.
local common = require("common")
common.two_data_centres()
worker("a-w1", "fail")
submit { name = "too-large", at = "a", cpu = 900000 }
submit { name = "broken-job", at = "b", tasks = 3, run = 1000 }
local jobs = { "broken-job" }
for i = 1, 6 do
  jobs[#jobs + 1] = "job-" .. i
  submit { name = "job-" .. i, at = "a", tasks = 3, run = 2500 }
  run(300)
end
run(20000)
expect(answer("too-large") == "invalid", "too large is refused at once: "
  .. answer("too-large"))
expect(counter("quarantines") >= 1, "the bad worker is quarantined")
expect(job_state("broken-job") == "failed", "the bad job fails: "
  .. job_state("broken-job"))
submit { name = "job-7", at = "b", tasks = 8, run = 500 }
jobs[#jobs + 1] = "job-7"
common.settle(jobs)
common.completed_once("job-7", 8)
