-- Accepted changes are in force everywhere within 4 s; a process that starts
-- during an outage learns the newest revision from peers; none goes back.
local common = require("common")
common.two_data_centres()
for i = 1, 5 do
  local n = edit_backer(i % 2 == 0 and "a" or "b", "one", 40 + i,
    backer_revision("one"))
  run(4500)
  expect(outcome(n) == "accepted", "change " .. i .. ": " .. outcome(n))
  expect(revision("a-s0") == revision("b-r"), "in force everywhere")
end
local newest = revision("b-c")
store { down = true }
kill("a-c") kill("a-s0") kill("a-r")
run(random(2000))
start("a-c") start("a-s0") start("a-r")
run(6000)
expect(revision("a-c") == newest, "learned from a peer: " .. revision("a-c"))
expect(revision("a-s0") == newest, "and passed on: " .. revision("a-s0"))
store {}
run(5000)
common.settle({})
