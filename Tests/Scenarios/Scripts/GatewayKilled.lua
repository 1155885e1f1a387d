-- Guards against orders that run twice, orders that run although they were
-- reported as refused, and overcommitted runners after a gateway was killed
-- under load (guarantees 1, 6 and 7). The runners are saturated and hold
-- watches for longer than a takeover takes, so a new owner that ignores the
-- slots of its predecessor's watches would exceed the limit.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 1, runners = 4, gateways = 3,
         runner_arguments = { "--service-ms", "50", "--watch-ms", "8000" } }
load { rate = 600, seconds = 14, seed = 11,
       mix = "orders=50,reads=49,watches=1" }
sleep(4)
kill("gateway-2")
local counts = finish()
expect_guarantees(counts)
expect_equal(8, counts.highest_in_progress, "most requests at one runner")
expect(counts.answered > counts.planned * 0.3, "calls are answered")
