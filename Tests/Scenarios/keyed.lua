-- A request with an idempotency key is repeated through routers of both data
-- centres while owners of the keys are killed, frozen and cut off: it runs
-- at most once.
local common = require("common")
common.two_data_centres()
run(2000)
for i = 1, 40 do
  local key = "key-" .. i
  keyed("a", key)
  if i % 8 == 0 then
    local n = random(2) == 1 and "a-r" or "b-r"
    local how = random(3)
    if how == 1 then kill(n) run(random(5000)) start(n)
    elseif how == 2 then freeze(n) run(random(6000)) thaw(n)
    else cut("a", "b") run(random(3000)) heal() end
  end
  run(random(60))
  keyed("b", key)
  run(random(400))
  keyed("a", key)
end
run(6000)
for i = 1, 40 do
  expect(executions("key-" .. i) <= 1, "key-" .. i .. " ran at most once")
end
-- Without faults each new key runs, also when it is asked through both.
start("a-r") start("b-r")
run(8000)
for i = 41, 50 do
  keyed("a", "key-" .. i)
  keyed("b", "key-" .. i)
end
run(3000)
for i = 41, 50 do
  expect(executions("key-" .. i) == 1, "key-" .. i .. " ran once")
end
