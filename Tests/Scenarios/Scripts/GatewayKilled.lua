-- Guarantees 1, 6, 7: a gateway that is killed under load doubles no order,
-- makes no refusal untrue and overcommits no runner.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 1, runners = 6, gateways = 3 }
load { rate = 300, seconds = 12, seed = 11 }
sleep(3)
kill("gateway-2")
local counts = finish()
expect_guarantees(counts)
expect(counts.answered > counts.planned / 2, "most calls are answered")
