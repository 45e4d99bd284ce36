-- An owner is frozen past its lease with starts on their way and thaws after
-- a successor has taken over: it acts on nothing.
local common = require("common")
common.two_data_centres()
local jobs = {}
for i = 1, 8 do
  local name = "job-" .. i
  jobs[i] = name
  local d = i % 2 == 0 and "a" or "b"
  local n = owner(d .. "-0")
  submit { name = name, at = d, tasks = 4, run = 9000 }
  run(random(140))
  if n ~= "" then
    freeze(n)
    run(5500 + random(3000))
    thaw(n)
  end
  run(random(1500))
end
common.settle(jobs)
for i = 1, 8 do common.completed_once("job-" .. i, 4) end
