-- Faults drawn from the seed, two at once and the same one twice, while jobs
-- are submitted and cancelled, requests sent and data centres drained.
local common = require("common")
common.two_data_centres(2)

local nodes = { "a-s0", "a-s1", "b-s0", "b-s1", "a-c", "b-c", "a-r", "b-r" }
local jobs = {}
local cancelled = {}
local keys = 0

local function any(list) return list[random(#list)] end

local faults = {
  function() local n = any(nodes) trace("kill " .. n) kill(n)
    return function() start(n) end end,
  function() local n = any(nodes) trace("freeze " .. n) freeze(n)
    return function() thaw(n) end end,
  function() local d = any { "a", "b" } trace("cut " .. d .. " platform")
    cut(d, "platform") return heal end,
  function() trace("cut a b") cut("a", "b") return heal end,
  function() trace("store down") store { down = true }
    return function() store {} end end,
  function() trace("store loses answers") store { lost = 0.3 }
    return function() store {} end end,
  function() trace("store slow") store { delay = 500 }
    return function() store {} end end,
  function() trace("late calls") late_calls(0.3)
    return function() late_calls(0) end end,
  function() local w = any { "a", "b" } .. "-w" .. (random(4) - 1)
    local n = any { "a-s0", "a-s1", "b-s0", "b-s1" }
    trace("cut " .. n .. " " .. w) cut(n, w) return heal end,
  function() local d = any { "a", "b" } trace("drain " .. d) drain(d)
    return function() trace("restore " .. d) restore(d) end end,
}

-- Each data centre keeps three workers.
local lost = { a = 0, b = 0 }
local function lose_worker()
  local d = any { "a", "b" }
  if lost[d] > 0 then return end
  lost[d] = 1
  local w = d .. "-w" .. (random(4) - 1)
  local how = any { "kill", "leave", "fail" }
  trace(how .. " worker " .. w)
  worker(w, how)
  if how == "kill" then
    run(random(4000))
    worker(w, "remove")
  end
end

local function work()
  local name = "job-" .. (#jobs + 1)
  jobs[#jobs + 1] = name
  submit { name = name, at = any { "a", "b" }, tasks = random(5),
    run = 500 + random(6000), cpu = 1000 * random(4),
    backer = any { "one", "two" }, urgent = random(4) == 1 }
  if random(5) == 1 then
    cancelled[name] = true
    cancel(name)
  end
end

local function traffic()
  for _ = 1, 3 do
    request(any { "a", "b" }, any { "web", "store" })
  end
  keys = keys + random(2) - 1
  keyed(any { "a", "b" }, "key-" .. keys)
end

for _ = 1, 3 do
  work()
  local first = any(faults)
  local mend = first()
  local second = random(3) == 1 and first or any(faults)
  run(random(3000))
  local mend_second = second()
  if random(4) == 1 then lose_worker() end
  for _ = 1, 3 do
    traffic()
    work()
    run(random(2500))
    traffic()
  end
  mend()
  run(random(2000))
  mend_second()
  run(random(3000))
end
for _, n in ipairs(nodes) do thaw(n) start(n) end
common.settle(jobs, 120000)
