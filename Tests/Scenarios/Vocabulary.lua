-- The vocabulary of scenario scripts, on top of the functions in Primitives.h.
-- Conditions are waited for with generous limits; no step depends on how fast
-- the machine is. Every check asks the stand-ins, not savorypaddle.

log = primitive.log
now = primitive.now
sleep = primitive.sleep

local kLimit = 30 -- seconds

-- Raises an error unless a condition holds.
function expect(condition, message)
  if not condition then
    error("expected: " .. message, 2)
  end
end

function expect_equal(wanted, got, what)
  if wanted ~= got then
    error(("%s: expected %s, got %s"):format(
      what, tostring(wanted), tostring(got)), 2)
  end
end

-- Calls a function until it returns a true value, and returns that.
function wait_until(what, condition, limit)
  local last = now() + (limit or kLimit)
  repeat
    local value = condition()
    if value then return value end
    sleep(0.05)
  until now() > last
  error("gave up waiting until " .. what, 2)
end

local function must(value, message)
  if value == nil then error(message, 3) end
  return value
end

-- Processes ---------------------------------------------------------------

local started = {} -- program and arguments by name

function start(name, program, arguments)
  started[name] = { program = program, arguments = arguments }
  must(primitive.spawn(name, program, arguments))
end

-- Starts a process again after it has ended.
function restart(name)
  local process = started[name]
  must(primitive.spawn(name, process.program, process.arguments))
end

function kill(name)
  must(primitive.signal(name, "KILL"))
  must(primitive.wait_exit(name, kLimit))
end

function freeze(name) must(primitive.signal(name, "STOP")) end
function thaw(name) must(primitive.signal(name, "CONT")) end
function terminate(name) must(primitive.signal(name, "TERM")) end

-- Asks a process to stop and returns its exit code.
function stop(name)
  terminate(name)
  return must(primitive.wait_exit(name, 90))
end

-- Deployment --------------------------------------------------------------

local deployment = {}

-- Two runs on one machine at the same time need different ports.
local kFirstPort = tonumber(os.getenv("SCENARIO_FIRST_PORT") or 22000)

local function write_json(name, value)
  return must(primitive.write_file(name, primitive.json(value)))
end

local kService = [[{
  "service": "desk", "team": "desk",
  "slotsPerRunner": 8, "connectionsPerRunner": 64, "watchSlotsPerRunner": 2,
  "longestWatchMs": 10000, "healthPath": "/health",
  "routes": [
    { "prefix": "/orders", "idempotent": false, "deadlineMs": 2000 },
    { "prefix": "/stock", "idempotent": true, "deadlineMs": 2000 },
    { "prefix": "/watch", "kind": "watch", "idempotent": true,
      "deadlineMs": 10000 }
  ],
  "quota": { "cores": 1000, "memoryMb": 4000000 },
  "evictionsPerHour": 60
}]]

local function write_hosts(options)
  local hosts = {}
  for i = 1, options.runners or 0 do
    hosts[#hosts + 1] = {
      name = "runner-" .. i, kind = "runner", state = "live",
      address = deployment.runners[i], dataCentre = "dc-1",
      region = "valley", rack = "entry", service = "desk" }
  end
  for i = 1, options.workers or 0 do
    hosts[#hosts + 1] = {
      name = "worker-" .. i, kind = "worker", state = "live",
      address = deployment.workers[i],
      dataCentre = i % 2 == 1 and "dc-1" or "dc-2", region = "valley",
      rack = "rack-1", cores = 16, memoryMb = 61440, accelerators = 0 }
  end
  return write_json("hosts.json", { hosts = hosts })
end

local function start_daemons(role, program, count, addresses)
  for i = 1, count or 0 do
    local name = role .. "-" .. i
    local settings = write_json(name .. ".jsonc", {
      member = name,
      dataCentre = i % 2 == 1 and "dc-1" or "dc-2",
      region = "valley",
      listen = addresses[i],
      platform = { table = deployment.platform,
                   objects = deployment.platform,
                   hosts = deployment.platform } })
    start(name, program, { "--settings", settings })
  end
end

local function addresses(count, network, port)
  local list = {}
  for i = 1, count or 0 do
    list[i] = ("127.%d.0.%d:%d"):format(network, i, port)
  end
  return list
end

-- Starts the stand-ins, accepts the configuration and starts the daemons.
-- options: block (0 to 99; chooses the ports), runners, workers, gateways,
-- schedulers, runner_arguments, worker_arguments.
function deploy(options)
  local port = kFirstPort + options.block * 10
  deployment = {
    platform = "127.30.0.1:" .. port,
    gateways = addresses(options.gateways, 31, port + 1),
    runners = addresses(options.runners, 32, port + 2),
    schedulers = addresses(options.schedulers, 33, port + 3),
    workers = addresses(options.workers, 34, port + 4) }
  local hosts = write_hosts(options)
  start("platform", "standin-platform",
    { "--listen", deployment.platform, "--hosts", hosts })
  if options.runners then
    local arguments = { "--hosts", hosts }
    for _, argument in ipairs(options.runner_arguments or {}) do
      arguments[#arguments + 1] = argument
    end
    start("runners", "standin-runner", arguments)
  end
  if options.workers then
    local arguments = { "--hosts", hosts }
    for _, argument in ipairs(options.worker_arguments or {}) do
      arguments[#arguments + 1] = argument
    end
    start("workers", "standin-worker", arguments)
  end
  wait_until("the platform answers", function()
    return primitive.rpc(deployment.platform, "hosts.list", {}, 1)
  end)
  if options.gateways or options.schedulers then
    apply("places.jsonc", primitive.json({ dataCentres = {
      { name = "dc-1", region = "valley" },
      { name = "dc-2", region = "valley" } } }))
    apply("desk.jsonc", kService)
  end
  start_daemons("gateway", "savorypaddle-gateway", options.gateways,
    deployment.gateways)
  start_daemons("scheduler", "savorypaddle-scheduler", options.schedulers,
    deployment.schedulers)
  if options.gateways then
    wait_until("every gateway answers a call", function()
      for i = 1, options.gateways do
        local reply = call { gateway = i, path = "/stock" }
        if not reply or reply.status ~= 200 then return false end
      end
      return true
    end, 60)
  end
  return deployment
end

-- The command line --------------------------------------------------------

local commands = 0

-- Runs the command line and returns its exit code and output.
function paddle(...)
  commands = commands + 1
  local name = "command-" .. commands
  must(primitive.spawn(name, "savorypaddle",
    { "--platform", deployment.platform, ... }))
  local code = must(primitive.wait_exit(name, kLimit))
  return code, primitive.output(name)
end

local function must_paddle(...)
  local code, output = paddle(...)
  if code ~= 0 then
    error(table.concat({ ... }, " ") .. " failed: " .. output, 3)
  end
  return output
end

-- Accepts a document or places file.
function apply(name, text)
  return must_paddle("apply", must(primitive.write_file(name, text)))
end

-- Takes a data centre out of service, and back.
function drain(data_centre)
  return must_paddle("drain", data_centre, "--why", "scenario")
end

function return_(data_centre)
  return must_paddle("return", data_centre, "--why", "scenario")
end

-- Submits a job given as a table. A scheduler that has just started may refuse
-- at first; a repeated submit of the same job changes nothing.
function submit(job)
  local file = write_json(job.job .. ".jsonc", job)
  wait_until("job " .. job.job .. " is accepted", function()
    return paddle("submit", file) == 0
  end)
end

-- Submits jobs PREFIX-1 to PREFIX-COUNT of one core each.
function submit_jobs(prefix, count, seconds)
  for i = 1, count do
    submit { job = prefix .. "-" .. i, team = "desk",
             size = { cores = 1, memoryMb = 1024 },
             expectedSeconds = seconds }
  end
end

-- Faults and what the stand-ins saw ---------------------------------------

-- fault("platform", {...}) or fault("runners", {...}), see standin.fault.
function fault(name, parameters)
  local address = name == "platform" and deployment.platform
    or name == "workers" and deployment.workers[1]
    or deployment.runners[1]
  return must(primitive.rpc(address, "standin.fault", parameters))
end

-- Begins or ends an outage of the table service.
function outage(on)
  fault("platform", { outage = { on = on } })
end

function runner_stats(keys)
  return must(primitive.rpc(
    deployment.runners[1], "standin.stats", { keys = keys or {} }))
end

function worker_stats()
  return must(primitive.rpc(
    deployment.workers[1], "standin.stats", { jobs = true }))
end

-- What holds for all work on the workers.
function expect_task_guarantees(stats)
  expect_equal(0, stats.capacityViolations, "starts beyond a capacity")
  expect_equal(0, stats.twoPlaces, "jobs in two places at once")
  expect_equal(0, stats.repeatedAttempts, "attempts started twice")
  expect_equal(0, stats.startsAfterEnd, "starts of jobs that had ended")
  expect_equal(0, stats.oldCheckpoints, "starts from a superseded checkpoint")
end

-- Whether each job PREFIX-1 to PREFIX-COUNT has started, as the workers saw.
function all_started(prefix, count)
  local jobs = worker_stats().jobs or {}
  for i = 1, count do
    if not jobs[prefix .. "-" .. i] then return false end
  end
  return true
end

function platform_stats()
  return must(primitive.rpc(deployment.platform, "standin.stats", {}))
end

-- A runner begins to leave: its own clock and the host list say so.
function runner_leaves(i)
  fault("runners", { runner = "runner-" .. i, fault = "leaving" })
  fault("platform", { host = { name = "runner-" .. i, state = "leaving" } })
end

-- Requests ----------------------------------------------------------------

-- Sends one request: gateway, path, method, key, body. Returns
-- {status, headers, body}, or nil and why.
function call(request)
  local headers = { ["Paddle-Customer"] = "grower" }
  if request.key then headers["Idempotency-Key"] = request.key end
  return primitive.http(deployment.gateways[request.gateway or 1],
    request.method or "GET", "/desk" .. request.path, headers,
    request.body or "", 10)
end

-- Starts a load in the background: name, gateways (list of numbers; default
-- all), direct (straight to the runners), rate, seconds, seed, mix, retries.
function load(options)
  local name = options.name or "load"
  local targets = {}
  local all = options.direct and deployment.runners or deployment.gateways
  for i, address in ipairs(all) do
    local wanted = not options.gateways
    for _, number in ipairs(options.gateways or {}) do
      wanted = wanted or number == i
    end
    if wanted then targets[#targets + 1] = address end
  end
  start(name, "standin-caller", {
    options.direct and "--direct" or "--gateways",
    table.concat(targets, ","), "--service", "desk",
    "--rate", tostring(options.rate or 200),
    "--seconds", tostring(options.seconds or 5),
    "--seed", tostring(options.seed or 1), "--name", name,
    "--mix", options.mix or "orders=50,reads=50",
    "--retries", tostring(options.retries or 0),
    -- Longer than the longest watch.
    "--patience-ms", "12000",
    "--account", deployment.runners[1] })
end

-- Waits until a load has ended and returns its counts.
function finish(name)
  name = name or "load"
  local code = must(primitive.wait_exit(name, 120))
  local line = primitive.output(name)
  log(name .. ": " .. line:gsub("%s+$", ""))
  local counts = {}
  for key, value in line:gmatch("(%S+)=(%S+)") do
    counts[key] = tonumber(value)
  end
  counts.exit = code
  return counts
end

-- What holds for every load: nothing lost, no true run called refused, no
-- doubled order, no foreign or cut answer, no runner beyond its limits.
function expect_guarantees(counts)
  expect_equal(0, counts.lost, "orders answered but never run")
  expect_equal(0, counts.refused_run, "orders refused as not run, yet run")
  expect_equal(0, counts.doubled, "orders run twice")
  expect_equal(0, counts.wrong, "answers that are not the caller's own")
  expect_equal(0, counts.slot_violations, "requests beyond a runner's slots")
  expect_equal(0, counts.connection_violations,
    "connections beyond a runner's limit")
end
