-- Guards against daemons that SIGHUP ends: hosts send it when a settings file
-- has changed.
-- needs: savorypaddle-gateway savorypaddle-scheduler savorypaddle standin-platform standin-runner standin-worker standin-caller
deploy { block = 12, runners = 6, gateways = 2, workers = 6, schedulers = 2 }
load { rate = 100, seconds = 6, seed = 7, mix = "orders=50,reads=50" }
for _ = 1, 5 do
  for _, name in ipairs { "gateway-1", "gateway-2", "scheduler-1", "scheduler-2" } do
    hang_up(name)
  end
  sleep(0.3)
end
local counts = finish()
expect_guarantees(counts)
expect_equal(0, counts.broken, "connections cut")
expect_equal(0, counts.timed_out, "calls without an answer")
submit_jobs("after", 4, 30)
wait_until("every accepted job has started", function()
  return all_started("after", 4)
end, 60)
for _, name in ipairs { "gateway-1", "gateway-2", "scheduler-1", "scheduler-2" } do
  expect_equal(0, stop(name), "exit code of " .. name)
end
