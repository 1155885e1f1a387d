-- Guarantees 1, 6, 7: a gateway that is frozen beyond its lease and thawed
-- sends nothing on a lease that has lapsed.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 2, runners = 6, gateways = 3 }
load { rate = 300, seconds = 16, seed = 12, retries = 2 }
sleep(3)
freeze("gateway-1")
sleep(6) -- Twice the term of a session.
thaw("gateway-1")
local counts = finish()
expect_guarantees(counts)
expect(counts.answered > counts.planned / 2, "most calls are answered")
