-- The functions that scenario scripts call, built upon the functions that
-- Primitives.h registers. Scripts wait for conditions with generous time
-- limits, so that no step depends on the speed of the machine. Every check
-- reads the statistics of the stand-ins (test programs that play the platform,
-- the runners, the workers and the callers), not what savorypaddle says of
-- itself.

log = primitive.log
now = primitive.now
sleep = primitive.sleep

local kLimit = 30 -- Default time limit of a wait, in seconds.

-- Raises an error unless the condition holds. The message says what was
-- expected.
function expect(condition, message)
  if not condition then
    error("expected: " .. message, 2)
  end
end

-- Raises an error unless both values are equal.
-- what: says what was compared.
function expect_equal(wanted, got, what)
  if wanted ~= got then
    error(("%s: expected %s, got %s"):format(
      what, tostring(wanted), tostring(got)), 2)
  end
end

-- Calls the function condition until it returns a true value, and returns that
-- value. Raises an error when the limit (seconds, default kLimit) has passed.
function wait_until(what, condition, limit)
  local last = now() + (limit or kLimit)
  repeat
    local value = condition()
    if value then return value end
    sleep(0.05)
  until now() > last
  error("gave up waiting until " .. what, 2)
end

-- Returns the value, or raises an error with the message if it is nil.
local function must(value, message)
  if value == nil then error(message, 3) end
  return value
end

-- Processes ---------------------------------------------------------------

local started = {} -- Program and arguments of each process by name.

-- Starts a program as a process with the given name.
function start(name, program, arguments)
  started[name] = { program = program, arguments = arguments }
  must(primitive.spawn(name, program, arguments))
end

-- Starts a process that has ended once more, with the same arguments.
function restart(name)
  local process = started[name]
  must(primitive.spawn(name, process.program, process.arguments))
end

-- Kills a process and waits until it has ended.
function kill(name)
  must(primitive.signal(name, "KILL"))
  must(primitive.wait_exit(name, kLimit))
end

-- freeze suspends a process, thaw lets it continue, and terminate asks it to
-- stop without waiting for that.
function freeze(name) must(primitive.signal(name, "STOP")) end
function thaw(name) must(primitive.signal(name, "CONT")) end
function terminate(name) must(primitive.signal(name, "TERM")) end

-- Sends a process the signal that asks for a reload.
function hang_up(name) must(primitive.signal(name, "HUP")) end

-- Asks a process to stop, waits until it has ended and returns its exit code.
function stop(name)
  terminate(name)
  return must(primitive.wait_exit(name, 90))
end

-- Deployment --------------------------------------------------------------

-- Addresses of the processes that deploy() started.
local deployment = {}

-- Two runs at the same time on one machine need different ports.
local kFirstPort = tonumber(os.getenv("SCENARIO_FIRST_PORT") or 22000)

-- Writes a value as a JSON file and returns its path.
local function write_json(name, value)
  return must(primitive.write_file(name, primitive.json(value)))
end

-- Service document of the only service, "desk".
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

-- Writes the host list of the deployment and returns the path of the file.
-- Workers alternate between the two data centres.
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

-- Starts count processes ROLE-1 to ROLE-COUNT of one program, each with a
-- settings file of its own.
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

-- Returns count loopback addresses 127.NETWORK.0.I:PORT.
local function addresses(count, network, port)
  local list = {}
  for i = 1, count or 0 do
    list[i] = ("127.%d.0.%d:%d"):format(network, i, port)
  end
  return list
end

-- Starts the stand-ins, submits the configuration, starts the gateways and the
-- schedulers, and waits until every gateway answers. Returns the addresses.
-- options: block (0 to 99; selects the ports, so every script has its own),
-- runners, workers, gateways, schedulers (the number of each),
-- runner_arguments, worker_arguments (further arguments of the stand-ins).
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

local commands = 0 -- Number of commands run so far, which numbers their names.

-- Runs the command-line program savorypaddle and returns its exit code and its
-- output.
function paddle(...)
  commands = commands + 1
  local name = "command-" .. commands
  must(primitive.spawn(name, "savorypaddle",
    { "--platform", deployment.platform, ... }))
  local code = must(primitive.wait_exit(name, kLimit))
  return code, primitive.output(name)
end

-- Runs the command-line program, raises an error if it fails, and returns its
-- output.
local function must_paddle(...)
  local code, output = paddle(...)
  if code ~= 0 then
    error(table.concat({ ... }, " ") .. " failed: " .. output, 3)
  end
  return output
end

-- Applies a configuration file: a service document or the list of data
-- centres.
function apply(name, text)
  return must_paddle("apply", must(primitive.write_file(name, text)))
end

-- drain takes a data centre out of service; return_ puts it back into service.
function drain(data_centre)
  return must_paddle("drain", data_centre, "--why", "scenario")
end

function return_(data_centre)
  return must_paddle("return", data_centre, "--why", "scenario")
end

-- Submits a job given as a table, and repeats that until it is accepted: a
-- scheduler that has just started may refuse jobs. A repeated submission of the
-- same job has no effect.
function submit(job)
  local file = write_json(job.job .. ".jsonc", job)
  wait_until("job " .. job.job .. " is accepted", function()
    return paddle("submit", file) == 0
  end)
end

-- Submits jobs PREFIX-1 to PREFIX-COUNT of one core each, which declare that
-- they run for the given number of seconds.
function submit_jobs(prefix, count, seconds)
  for i = 1, count do
    submit { job = prefix .. "-" .. i, team = "desk",
             size = { cores = 1, memoryMb = 1024 },
             expectedSeconds = seconds }
  end
end

-- Faults and statistics of the stand-ins ----------------------------------

-- Injects a fault into a stand-in: "platform", "workers" or "runners". The
-- parameters are those of its RPC method standin.fault.
function fault(name, parameters)
  local address = name == "platform" and deployment.platform
    or name == "workers" and deployment.workers[1]
    or deployment.runners[1]
  return must(primitive.rpc(address, "standin.fault", parameters))
end

-- Begins (true) or ends (false) an outage of the table service.
function outage(on)
  fault("platform", { outage = { on = on } })
end

-- Returns the statistics of the runner stand-in. keys: idempotency keys to
-- report on.
function runner_stats(keys)
  return must(primitive.rpc(
    deployment.runners[1], "standin.stats", { keys = keys or {} }))
end

-- Returns the statistics of the worker stand-in, with every job.
function worker_stats()
  return must(primitive.rpc(
    deployment.workers[1], "standin.stats", { jobs = true }))
end

-- Checks the guarantees that hold for all tasks, by the statistics of the
-- workers.
function expect_task_guarantees(stats)
  expect_equal(0, stats.capacityViolations, "starts beyond a capacity")
  expect_equal(0, stats.twoPlaces, "jobs in two places at once")
  expect_equal(0, stats.repeatedAttempts, "attempts started twice")
  expect_equal(0, stats.startsAfterEnd, "starts of jobs that had ended")
  expect_equal(0, stats.oldCheckpoints, "starts from a superseded checkpoint")
end

-- Returns whether each of the jobs PREFIX-1 to PREFIX-COUNT has started, by the
-- statistics of the workers.
function all_started(prefix, count)
  local jobs = worker_stats().jobs or {}
  for i = 1, count do
    if not jobs[prefix .. "-" .. i] then return false end
  end
  return true
end

-- Returns the statistics of the platform stand-in.
function platform_stats()
  return must(primitive.rpc(deployment.platform, "standin.stats", {}))
end

-- Makes runner i leave: the runner records the time by its own clock, and the
-- host list shows its state as leaving.
function runner_leaves(i)
  fault("runners", { runner = "runner-" .. i, fault = "leaving" })
  fault("platform", { host = { name = "runner-" .. i, state = "leaving" } })
end

-- Requests ----------------------------------------------------------------

-- Sends one request through a gateway. request: gateway (number, default 1),
-- path, method (default GET), key (idempotency key), body. Returns {status,
-- headers, body}, or nil and an error message.
function call(request)
  local headers = { ["Paddle-Customer"] = "grower" }
  if request.key then headers["Idempotency-Key"] = request.key end
  return primitive.http(deployment.gateways[request.gateway or 1],
    request.method or "GET", "/desk" .. request.path, headers,
    request.body or "", 10)
end

-- Starts a load generator in the background. options: name, gateways (list of
-- numbers; default all), direct (true: call the runners without a gateway),
-- rate (calls per second), seconds, seed, mix (shares of orders, reads and
-- watches), retries.
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
    -- The time-out of a call exceeds the longest watch (10 s).
    "--patience-ms", "12000",
    "--account", deployment.runners[1] })
end

-- Waits until a load generator has ended and returns its counts by name, with
-- its exit code as "exit".
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

-- Checks the guarantees that hold for every load: no acknowledged order is
-- lost, no order reported as refused has run, no order runs twice, no caller
-- receives the answer to another request, and no runner exceeds its limits.
function expect_guarantees(counts)
  expect_equal(0, counts.lost, "orders answered but never run")
  expect_equal(0, counts.refused_run, "orders refused as not run, yet run")
  expect_equal(0, counts.doubled, "orders run twice")
  expect_equal(0, counts.wrong, "answers that are not the caller's own")
  expect_equal(0, counts.slot_violations, "requests beyond a runner's slots")
  expect_equal(0, counts.connection_violations,
    "connections beyond a runner's limit")
end
