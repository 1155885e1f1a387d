-- Guarantees 1, 5 and 7: runners become so slow that requests run past their
-- deadlines. A request that its caller no longer waits for still takes a slot
-- at the runner until it ends there.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 11, runners = 4, gateways = 3,
         runner_arguments = { "--service-ms", "30", "--sigma", "0.05" } }
load { rate = 150, seconds = 10, seed = 21, mix = "orders=50,reads=50" }
sleep(2)
-- 3 s where the deadline is 2 s.
fault("runners", { fault = "slow", factor = 100 })
sleep(3)
fault("runners", { fault = "clear" })
local counts = finish()
expect_guarantees(counts)
expect(counts.unknown > 0, "some requests ran past their deadline")
