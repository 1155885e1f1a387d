-- Guards against gateways that stop serving requests, or break the guarantees
-- about them, while the table service is down (guarantees 6 and 7, section 9).
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 5, runners = 6, gateways = 3 }
load { rate = 200, seconds = 20, seed = 15 }
sleep(3)
outage(true)
sleep(10) -- Three lease terms of a session.
local before = runner_stats().all.total
sleep(2)
local after = runner_stats().all.total
outage(false)
local counts = finish()
expect_guarantees(counts)
expect(after > before, "requests are run late in the outage")
expect(counts.answered > counts.planned * 0.9, "calls are answered")
