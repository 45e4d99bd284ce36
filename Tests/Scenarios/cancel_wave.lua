-- A wave of cancellations: all end cancelled or done, with a bounded number
-- of store calls for each.
local common = require("common")
common.two_data_centres()
local jobs = {}
for i = 1, 60 do
  jobs[i] = "job-" .. i
  submit { name = jobs[i], at = i % 2 == 0 and "a" or "b", tasks = 2,
    run = 30000, cpu = 1000 }
end
run(3000)
local idle_from = store_calls()
run(3000)
local idle = store_calls() - idle_from
local before = store_calls()
for i = 1, 60 do cancel(jobs[i]) run(5) end
run(2700)
local spent = store_calls() - before - idle
expect(spent <= 60 * 8, "at most 8 store calls for each, found " .. spent)
common.settle(jobs, 60000)
for i = 1, 60 do
  expect(job_state(jobs[i]) == "cancelled", jobs[i] .. " is cancelled")
end
