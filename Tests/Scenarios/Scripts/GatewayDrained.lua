-- Guards against a gateway that interrupts requests in flight when it is asked
-- to stop under load (guarantee 9).
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 3, runners = 6, gateways = 3,
         runner_arguments = { "--service-ms", "50", "--watch-ms", "1500" } }
load { rate = 200, seconds = 10, seed = 13,
       mix = "orders=48,reads=48,watches=4" }
sleep(3)
local code = stop("gateway-3")
local counts = finish()
expect_equal(0, code, "exit code of the stopped gateway")
expect_guarantees(counts)
expect_equal(0, counts.broken, "connections cut")
expect_equal(0, counts.timed_out, "calls without an answer")
expect_equal(0, counts.unknown, "calls with an unknown outcome")
