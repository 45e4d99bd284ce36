-- Two operators change the same object from the same base: one wins, the
-- other gets a conflict. Different objects both go in. A cancellation races
-- with a completion: one outcome.
local common = require("common")
common.two_data_centres()
local base = backer_revision("one")
local left = edit_backer("a", "one", 50, base)
local right = edit_backer("b", "one", 55, base)
local other = edit_backer("b", "two", 30, backer_revision("two"))
submit { name = "job", at = "a", tasks = 2, run = 1500 }
run(random(5000))
cancel("job")
run(4000)
local l, r = outcome(left), outcome(right)
expect((l == "accepted" and r == "conflict")
  or (l == "conflict" and r == "accepted"), "one wins: " .. l .. " " .. r)
expect(outcome(other) == "accepted", "another object goes in: "
  .. outcome(other))
common.settle({ "job" })
local state = job_state("job")
expect(state == "cancelled" or state == "done", "one outcome, " .. state)
if state == "done" then common.completed_once("job", 2) end
