-- Guards against an order that runs twice because its gateway was killed while
-- it ran and the caller repeated it with the same idempotency key through
-- another gateway (guarantee 7).
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 7, runners = 6, gateways = 3,
         runner_arguments = { "--service-ms", "150" } }
load { name = "doomed", gateways = { 1 }, rate = 100, seconds = 4, seed = 17,
       mix = "orders=100" }
load { name = "repeating", rate = 100, seconds = 14, seed = 18, retries = 8,
       mix = "orders=100" }
sleep(2)
kill("gateway-1")
local doomed = finish("doomed")
local repeating = finish("repeating")
expect_guarantees(doomed)
expect_guarantees(repeating)
expect(doomed.broken > 0, "the kill cut orders that were running")
expect_equal(0, runner_stats().doubledKeys, "keys run twice")
