-- Guards against a task that starts in a data centre more than 3 s after an
-- operator has taken it out of service, and against jobs that then start
-- nowhere (guarantee 4). A scheduler is killed meanwhile.
-- needs: savorypaddle-scheduler savorypaddle standin-platform standin-worker
deploy { block = 9, workers = 6, schedulers = 3 }
submit_jobs("before", 4, 30)
drain("dc-1")
sleep(3)
fault("workers", { dataCentreOut = "dc-1" })
submit_jobs("during", 6, 30)
kill("scheduler-2")
wait_until("every job has started elsewhere", function()
  return all_started("before", 4) and all_started("during", 6)
end, 90)
local stats = worker_stats()
expect_equal(0, stats.startsWhileOut, "starts in the data centre that is out")
expect_task_guarantees(stats)
