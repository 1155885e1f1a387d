-- Guarantees 1, 2, 3: when a scheduler is killed while it starts jobs, every
-- accepted job still starts, none in two places, no worker beyond its capacity.
-- needs: savorypaddle-scheduler savorypaddle standin-platform standin-worker
deploy { block = 8, workers = 6, schedulers = 3 }
submit_jobs("first", 12, 30)
kill("scheduler-1")
submit_jobs("second", 6, 30)
wait_until("every accepted job has started", function()
  return all_started("first", 12) and all_started("second", 6)
end, 90)
expect_task_guarantees(worker_stats())
