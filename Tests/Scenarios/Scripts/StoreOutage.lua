-- Guarantees 6, 7 and section 9: requests continue while the table service is
-- down, and the promises about them hold.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 5, runners = 6, gateways = 3 }
load { rate = 200, seconds = 20, seed = 15 }
sleep(3)
outage(true)
sleep(10) -- Three terms of a session.
local before = runner_stats().all.total
sleep(2)
local after = runner_stats().all.total
outage(false)
local counts = finish()
expect_guarantees(counts)
expect(after > before, "requests are run late in the outage")
expect(counts.answered > counts.planned * 0.9, "calls are answered")
