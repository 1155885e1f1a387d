-- Guards against a second owner of a shard when answers of the table service
-- are lost after their writes took effect (guarantees 1 and 7). A gateway is
-- killed meanwhile.
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 6, runners = 6, gateways = 3 }
load { rate = 200, seconds = 16, seed = 16, retries = 2 }
for round = 1, 6 do
  fault("platform", { loseAnswers = { count = 3 } })
  if round == 3 then kill("gateway-1") end
  sleep(1.5)
end
local counts = finish()
expect_guarantees(counts)
expect(counts.answered > counts.planned / 2, "most calls are answered")
