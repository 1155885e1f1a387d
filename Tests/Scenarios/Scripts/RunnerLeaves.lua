-- Guards against new requests to a leaving runner more than 3 s after it began
-- to leave, by the runner's own clock (guarantee 8).
-- needs: savorypaddle-gateway savorypaddle standin-platform standin-runner standin-caller
deploy { block = 4, runners = 6, gateways = 3 }
load { rate = 300, seconds = 12, seed = 14 }
wait_until("the runner has work", function()
  return runner_stats().runners["runner-2"].total > 20
end)
runner_leaves(2)
local counts = finish()
local leaving = runner_stats().runners["runner-2"]
log(("received while leaving: %d, latest after %d ms"):format(
  leaving.whileLeaving, leaving.latestWhileLeavingMs))
expect_guarantees(counts)
expect(leaving.latestWhileLeavingMs <= 3000,
  "no request more than 3 s after the runner began to leave")
