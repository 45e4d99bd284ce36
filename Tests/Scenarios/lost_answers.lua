-- Answers of the store are lost after the write took effect. No change is
-- applied twice or lost, no job runs twice, ownership stays single.
local common = require("common")
common.two_data_centres()
store { lost = 0.4 }
local jobs = {}
for i = 1, 6 do
  jobs[i] = "job-" .. i
  submit { name = jobs[i], at = i % 2 == 0 and "a" or "b", tasks = 3,
    run = 1500 }
  run(random(1500))
end
local base = backer_revision("one")
local n = edit_backer("a", "one", 50, base)
run(8000)
store {}
run(8000)
expect(outcome(n) ~= "unanswered", "the operator gets an answer")
if outcome(n) == "accepted" then
  expect(backer_revision("one") > base, "an accepted change is in force")
  local again = backer_revision("one")
  run(4000)
  expect(backer_revision("one") == again, "it is applied once")
end
common.settle(jobs)
for i = 1, 6 do common.completed_once("job-" .. i, 3) end
