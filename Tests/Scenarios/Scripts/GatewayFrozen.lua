-- Guarantees 1, 6, 7: a gateway that is frozen beyond its lease and thawed
-- sends nothing on a lease that has lapsed. The runners are saturated, so what
-- it sent would exceed the slots that others have taken over.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 2, runners = 4, gateways = 3,
         runner_arguments = { "--service-ms", "50", "--watch-ms", "8000" } }
load { rate = 600, seconds = 18, seed = 12, retries = 2,
       mix = "orders=50,reads=49,watches=1" }
sleep(4)
freeze("gateway-1")
sleep(7) -- More than twice the term of a session.
thaw("gateway-1")
local counts = finish()
expect_guarantees(counts)
expect_equal(8, counts.highest_in_progress, "most requests at one runner")
expect(counts.answered > counts.planned * 0.3, "calls are answered")
