-- Worlds and helpers that several scenarios share.
local common = {}

-- Two data centres with two services; returns once both serve.
function common.two_data_centres(schedulers)
  data_centre { name = "a", schedulers = schedulers or 2, workers = 4 }
  data_centre { name = "b", schedulers = schedulers or 2, workers = 4 }
  run(1500)
  configure { services = {
    { name = "web", replicas = 4 },
    { name = "store", replicas = 4, backer = "two" },
  } }
  local serves = run_until(10000, function()
    return running("a", "service") == 4 and running("b", "service") == 4
  end)
  expect(serves, "eight replicas run within 10 s")
end

-- Everything is mended; all jobs end and all replicas run.
function common.settle(jobs, limit)
  heal()
  store {}
  late_calls(0)
  restore("a")
  restore("b")
  local done = run_until(limit or 90000, function()
    for _, name in ipairs(jobs) do
      local state = job_state(name)
      if state ~= "done" and state ~= "cancelled" and state ~= "failed" then
        return false
      end
    end
    return running("a", "service") + running("b", "service") >= 8
  end)
  for _, name in ipairs(jobs) do
    trace("job " .. name .. " is " .. job_state(name))
  end
  trace("services " .. running("a", "service") .. " " .. running("b", "service"))
  if not done then dump() end
  expect(done, "all jobs end and all replicas run once all is mended")
end

-- Every task of the job was completed exactly once.
function common.completed_once(name, tasks)
  expect(completions(name) == tasks,
    name .. " has " .. tasks .. " completions, found " .. completions(name))
end

return common
