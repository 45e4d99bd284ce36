-- A data centre whose schedulers still hold their leases, but which hears
-- nothing of the configuration, is drained from elsewhere: nothing starts
-- there 3 s after the drain.
local common = require("common")
common.two_data_centres()
cut("a", "b")
freeze("a-c")
run(random(1000))
drain("a")
for i = 1, 12 do
  submit { name = "job-" .. i, at = "a", tasks = 2, run = 1500 }
  worker("a-w" .. i % 4, "leave")
  run(1000)
end
thaw("a-c")
heal()
run(3000)
restore("a")
run(2000)
