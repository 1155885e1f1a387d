-- The accounting that every other scenario relies on: the caller tells foreign
-- and cut answers from its own, and the runner sees keys that are run twice and
-- requests beyond its slots.
-- needs: standin-platform standin-runner standin-caller
deploy { block = 0, runners = 2 }
local seed = 0
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

-- The same seed sends the same keys once more.
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
