-- Guards against a gateway that still sends requests on a lease that expired
-- while its process was suspended (guarantees 1, 6 and 7). The runners are
-- saturated, so such requests would exceed the slots that other gateways have
-- taken over.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 2, runners = 4, gateways = 3,
         runner_arguments = { "--service-ms", "50", "--watch-ms", "8000" } }
load { rate = 600, seconds = 18, seed = 12, retries = 2,
       mix = "orders=50,reads=49,watches=1" }
sleep(4)
freeze("gateway-1")
sleep(7) -- More than twice the lease term of a session.
thaw("gateway-1")
local counts = finish()
expect_guarantees(counts)
expect_equal(8, counts.highest_in_progress, "most requests at one runner")
expect(counts.answered > counts.planned * 0.3, "calls are answered")
