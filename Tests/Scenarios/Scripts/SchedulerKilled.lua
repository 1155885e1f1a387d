-- Guards against accepted jobs that never start, jobs that run in two places,
-- and workers beyond their capacity after a scheduler was killed while it
-- started jobs (guarantees 1, 2 and 3).
-- needs: savorypaddle-scheduler savorypaddle standin-platform standin-worker
deploy { block = 8, workers = 6, schedulers = 3 }
submit_jobs("first", 12, 30)
kill("scheduler-1")
submit_jobs("second", 6, 30)
wait_until("every accepted job has started", function()
  return all_started("first", 12) and all_started("second", 6)
end, 90)
expect_task_guarantees(worker_stats())
