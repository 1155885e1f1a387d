-- Guards against overcommitted runners and orders that run twice when runners
-- become so slow that requests run past their deadlines (guarantees 1, 5 and
-- 7). A request whose caller no longer waits still occupies its slot until it
-- ends at the runner.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 11, runners = 4, gateways = 3,
         runner_arguments = { "--service-ms", "30", "--sigma", "0.05" } }
load { rate = 150, seconds = 10, seed = 21, mix = "orders=50,reads=50" }
sleep(2)
-- Requests take 3 s, and their deadline is 2 s.
fault("runners", { fault = "slow", factor = 100 })
sleep(3)
fault("runners", { fault = "clear" })
local counts = finish()
expect_guarantees(counts)
expect(counts.unknown > 0, "some requests ran past their deadline")
