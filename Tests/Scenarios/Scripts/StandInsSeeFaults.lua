-- Guards against stand-ins that miss a violation, which would let every other
-- scenario pass wrongly. The caller must detect truncated answers and answers
-- to other requests. The runner must detect keys that run twice, requests
-- beyond its slots, and requests that arrive while it leaves.
-- needs: standin-platform standin-runner standin-caller
deploy { block = 0, runners = 2 }
local seed = 0
-- Injects a fault into 5 answers and returns the counts of a load beside it.
local function seen(kind)
  seed = seed + 1
  fault("runners", { fault = kind, count = 5 })
  load { direct = true, rate = 100, seconds = 1, seed = seed }
  local counts = finish()
  fault("runners", { fault = "clear" })
  return counts
end

expect(seen("wrongId").wrong > 0, "a foreign answer is told")
expect(seen("truncated").broken > 0, "a cut answer is told")
expect(seen("closeAfterRead").broken > 0, "a closed connection is told")

-- The same seed repeats the keys of the load before.
load { direct = true, rate = 100, seconds = 1, seed = seed }
local repeated = finish()
expect(repeated.doubled > 0, "a key that is run twice is told")
expect_equal(1, repeated.exit, "exit code of a load with doubled orders")

fault("runners", { fault = "slow", factor = 100 })
load { direct = true, rate = 100, seconds = 1, seed = 99 }
expect(finish().slot_violations > 0, "requests beyond the slots are told")
fault("runners", { fault = "clear" })

fault("runners", { runner = "runner-2", fault = "leaving" })
load { direct = true, rate = 100, seconds = 1, seed = 98 }
finish()
expect(runner_stats().runners["runner-2"].latestWhileLeavingMs > 500,
  "a request to a leaving runner is told, with its delay")
